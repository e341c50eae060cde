export * from './lease-keeper.js';
