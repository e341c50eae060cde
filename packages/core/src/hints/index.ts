export * from './cluster-time.js';
export * from './daemon-hints.js';
export * from './hint-store.js';
