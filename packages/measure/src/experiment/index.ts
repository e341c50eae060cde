export * from './experiment.js';
