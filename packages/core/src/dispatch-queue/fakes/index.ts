export * from './gate-harness.js';
export * from './samples.js';
