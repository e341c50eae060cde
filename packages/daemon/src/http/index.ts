export * from './http-listener.js';
export * from './http-router.js';
export { nextPoll } from './next-poll.js';
export * from './read-body.js';
