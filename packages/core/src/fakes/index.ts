export * from './claim-fixture.js';
export * from './faulty-key-value.js';
export * from './memory-key-value.js';
export * from './memory-peers.js';
export * from './scripted-engine.js';
export * from './sharing-simulation.js';
export * from './simulated-membership.js';
export * from './warm-endpoint.js';
