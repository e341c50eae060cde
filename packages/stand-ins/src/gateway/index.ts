export * from './caller-crowd.js';
export * from './gateway-deployment.js';
export { stall } from './gateway-fixture.js';
export * from './soak-checks.js';
export * from './soak-plan.js';
export { sampleCall } from '@skylarkreach/platform/stand-ins';
