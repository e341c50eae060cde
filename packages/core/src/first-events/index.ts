export * from './first-event-counts.js';
export * from './first-event-hints.js';
