export * from './move-routes.js';
export * from './operator-server.js';
export * from './rule-routes.js';
