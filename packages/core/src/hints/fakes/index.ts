export * from './news-simulation.js';
