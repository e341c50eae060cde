export * from './endpoint-poll.js';
export * from './loop.js';
export * from './rule-watch.js';
