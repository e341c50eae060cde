export * from './bound-identity.js';
export * from './listing-seed.js';
export * from './membership-calls.js';
export * from './membership-service.js';
export * from './spreader.js';
