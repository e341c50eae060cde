export * from './news-experiment.js';
