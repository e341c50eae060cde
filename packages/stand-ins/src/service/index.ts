export * from './plain-service.js';
export * from './service-server.js';
