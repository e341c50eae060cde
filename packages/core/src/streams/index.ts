export * from './answer-assembler.js';
export * from './reclaim-board.js';
export * from './record-copies.js';
export * from './record-store.js';
export * from './request-record.js';
export * from './resume-token.js';
export * from './silence-guard.js';
export * from './splice.js';
