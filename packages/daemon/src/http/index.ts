export * from './http-listener.js';
export * from './http-router.js';
export * from './read-body.js';
