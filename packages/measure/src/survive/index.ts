export * from './survive-experiment.js';
