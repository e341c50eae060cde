export * from './prompt-transfers.js';
