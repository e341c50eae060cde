export * from './operator-client.js';
export * from './program.js';
