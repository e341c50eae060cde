export * from './baseline-routers.js';
export * from './routing-experiment.js';
export * from './run-results.js';
export * from './simulation.js';
export * from './workload.js';
export * from './workload-shapes.js';
