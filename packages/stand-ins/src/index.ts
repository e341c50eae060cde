export * from './cloud/index.js';
export * from './deployment/index.js';
export * from './engine/index.js';
export * from './gateway/index.js';
export * from './key-value/index.js';
export * from './process-soak/index.js';
export * from './scenarios/index.js';
export * from './service/index.js';
