export * from './attempt-collector.js';
export * from './canary-rollout.js';
export * from './evidence-accumulator.js';
export * from './health-evidence.js';
export * from './rollback-decision.js';
export * from './rollout-hints.js';
export * from './rollout-registry.js';
export * from './rollout-writer.js';
