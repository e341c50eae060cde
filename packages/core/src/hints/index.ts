export * from './daemon-hints.js';
export * from './hint-board.js';
export * from './true-time.js';
