export * from './crash-ledger.js';
export * from './quarantine-hints.js';
export * from './request-quarantine.js';
