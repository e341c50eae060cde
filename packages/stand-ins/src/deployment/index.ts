export * from './local-deployment.js';
export * from './sample-rules.js';
