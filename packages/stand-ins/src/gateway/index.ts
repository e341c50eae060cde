export * from './gateway-deployment.js';
export { sampleCall } from '@skylarkreach/platform/stand-ins';
