export * from './hand-off.js';
export * from './open-responses.js';
export * from './reclaim-notice-poller.js';
export * from './request-recovery.js';
