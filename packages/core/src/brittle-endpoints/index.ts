export * from './brittle-endpoint-hints.js';
export * from './brittle-endpoints.js';
export * from './dispatch-window.js';
export * from './rejection-share.js';
export * from './room-trials.js';
