export * from './pipeline-bench.js';
