export * from './kind-rate-meter.js';
export * from './move-wiring.js';
