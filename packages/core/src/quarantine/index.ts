export * from './crash-ledger.js';
export * from './prompt-quarantine.js';
export * from './quarantine-hints.js';
