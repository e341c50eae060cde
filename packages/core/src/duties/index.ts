export * from './duty-calls.js';
export * from './duty-holder.js';
export * from './fleet-plan.js';
export * from './fleet-scaler.js';
export * from './recent-peak.js';
export * from './usage-ledger.js';
export * from './usage-reporter.js';
