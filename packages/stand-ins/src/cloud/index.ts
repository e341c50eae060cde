export * from './cloud-server.js';
export * from './memory-cloud.js';
