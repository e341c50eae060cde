export * from './claims.js';
export * from './single-key-claims.js';
