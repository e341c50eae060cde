export * from './evidence-sum.js';
export * from './rollout-board.js';
export * from './rollout-hints.js';
export * from './rollout-trial.js';
export * from './rollout-writer.js';
