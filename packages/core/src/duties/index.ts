export * from './duty-api.js';
export * from './duty-call-tracker.js';
export * from './duty-holder.js';
export * from './fleet-plan.js';
export * from './fleet-scaler.js';
export * from './sliding-window-max.js';
export * from './usage-ledger.js';
export * from './usage-reporter.js';
