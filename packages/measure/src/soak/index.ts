export * from './soak-experiment.js';
