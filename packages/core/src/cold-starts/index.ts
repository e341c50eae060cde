export * from './cold-endpoint.js';
export * from './cold-share.js';
export * from './cold-start-hints.js';
export * from './cold-starts.js';
