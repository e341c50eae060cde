export * from './reclaimable-endpoint.js';
