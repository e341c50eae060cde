export * from './endpoint-table.js';
export * from './least-in-flight-router.js';
export * from './router.js';
