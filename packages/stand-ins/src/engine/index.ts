export * from './answer-text.js';
export * from './engine-server.js';
export * from './engine-stream.js';
export * from './model-engine.js';
export * from './prefix-cache.js';
