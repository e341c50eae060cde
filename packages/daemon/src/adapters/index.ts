export * from './compressed-key-value.js';
export * from './http-client.js';
export * from './http-cloud.js';
export * from './http-engine.js';
export * from './http-key-value.js';
export * from './http-service.js';
export * from './steady-clock.js';
export * from './system-clock.js';
