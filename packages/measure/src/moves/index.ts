export * from './moves-experiment.js';
