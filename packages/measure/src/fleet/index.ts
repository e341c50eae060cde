export * from './fleet-experiment.js';
