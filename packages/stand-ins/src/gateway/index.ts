export * from './platform-deployment.js';
export { sampleCall } from '@skylarkreach/platform/stand-ins';
