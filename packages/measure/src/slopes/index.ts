export * from './slopes-experiment.js';
