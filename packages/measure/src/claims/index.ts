export * from './claims-experiment.js';
