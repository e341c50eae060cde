export * from './process-soak-experiment.js';
export * from './soak-experiment.js';
