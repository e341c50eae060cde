export * from './experiment.js';
export * from './fit-line.js';
