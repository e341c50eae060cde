export * from './fields.js';
export * from './fleet-settings.js';
export * from './gateway-settings.js';
export * from './load-settings.js';
export * from './settings.js';
export * from './settings-error.js';
export * from './settings-watcher.js';
