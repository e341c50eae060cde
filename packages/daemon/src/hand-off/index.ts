export * from './hand-off.js';
export * from './open-responses.js';
export * from './reclaim-watch.js';
export * from './survival.js';
