export * from './config-experiment.js';
export * from './counting-peer.js';
export * from './simulated-fleet.js';
