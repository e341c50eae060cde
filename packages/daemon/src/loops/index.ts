export * from './endpoint-poller.js';
export * from './loop.js';
export * from './rule-watcher.js';
