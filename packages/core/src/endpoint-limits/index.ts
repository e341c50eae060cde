export * from './endpoint-limit-hints.js';
export * from './endpoint-limits.js';
export * from './limit-share.js';
export * from './share-bucket.js';
