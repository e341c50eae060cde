export * from './match-rule.js';
export * from './parse-rules.js';
export * from './rule.js';
export * from './rule-store.js';
