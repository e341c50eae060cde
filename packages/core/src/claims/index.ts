export * from './claim-command.js';
export * from './claim-writer.js';
export * from './claims.js';
export * from './journal-claims.js';
export * from './journal-entry.js';
export * from './journal-state.js';
export * from './shard-owners.js';
export * from './single-key-claims.js';
