export * from './load-demand.js';
export * from './wire-fleet.js';
