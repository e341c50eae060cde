export * from './balancer.js';
export * from './daemon-settings.js';
export * from './local-deployment.js';
export * from './process-clock.js';
export * from './sample-rules.js';
