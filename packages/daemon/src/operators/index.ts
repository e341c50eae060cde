export * from './move-calls.js';
export * from './operator-server.js';
export * from './rule-calls.js';
