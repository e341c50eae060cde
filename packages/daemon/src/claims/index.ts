export * from './create-claims.js';
