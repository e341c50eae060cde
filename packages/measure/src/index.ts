export * from './experiment/index.js';
export * from './program.js';
export * from './registry.js';
