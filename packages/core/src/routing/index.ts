export * from './endpoint-table.js';
export * from './expected-finish-router.js';
export * from './hash.js';
export * from './least-in-flight-router.js';
export * from './load-view.js';
export * from './outlier-ejection.js';
export * from './prefix-index.js';
export * from './router.js';
