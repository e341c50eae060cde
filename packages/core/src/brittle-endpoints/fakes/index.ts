export * from './brittle-simulation.js';
export * from './simulated-endpoint.js';
