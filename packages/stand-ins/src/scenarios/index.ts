export * from './evidence.js';
export * from './promise-checker.js';
export * from './trace.js';
export * from './violation.js';
