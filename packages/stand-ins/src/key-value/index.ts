export * from './key-value-server.js';
