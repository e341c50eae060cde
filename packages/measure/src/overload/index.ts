export * from './overload-experiment.js';
