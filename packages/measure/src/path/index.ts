export * from './path-experiment.js';
