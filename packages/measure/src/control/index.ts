export * from './control-experiment.js';
