export * from './bundle-program.js';
export * from './process-soak.js';
