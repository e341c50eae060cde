export * from './gateway-deployment.js';
export * from './soak-checks.js';
export { sampleCall } from '@skylarkreach/platform/stand-ins';
