export * from './adapters/index.js';
export * from './daemon.js';
export * from './http/index.js';
export * from './loops/index.js';
export * from './peers/index.js';
export * from './settings/index.js';
export * from './telemetry/index.js';
export * from './wiring.js';
