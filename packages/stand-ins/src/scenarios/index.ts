export * from './guarantee-checker.js';
export * from './run-history.js';
export * from './scenario-callers.js';
export * from './scenario-operators.js';
export * from './scenario-world.js';
export * from './trace.js';
export * from './violation.js';
