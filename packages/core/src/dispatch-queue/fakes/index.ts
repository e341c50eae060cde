export * from './samples.js';
