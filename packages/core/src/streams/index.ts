export * from './answer-assembler.js';
export * from './reclaim-notice-tracker.js';
export * from './record-replicator.js';
export * from './record-store.js';
export * from './request-record.js';
export * from './resume-token.js';
export * from './stall-detector.js';
export * from './stream-recovery.js';
