export * from './platform-deployment.js';
