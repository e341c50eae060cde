export * from './evidence.js';
export * from './promise-checker.js';
export * from './scenario-callers.js';
export * from './scenario-operators.js';
export * from './scenario-world.js';
export * from './trace.js';
export * from './violation.js';
