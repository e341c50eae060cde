export * from './caller-headers.js';
export * from './caller-server.js';
