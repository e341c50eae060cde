export * from './contradicting-limits.js';
export * from './differences.js';
export * from './finding.js';
export * from './json-positions.js';
export * from './unreachable-entries.js';
