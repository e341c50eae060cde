export * from './bound-identity.js';
export * from './membership-client.js';
export * from './membership-service.js';
export * from './seed-list-poller.js';
export * from './value-broadcaster.js';
