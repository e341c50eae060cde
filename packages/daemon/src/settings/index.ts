export * from './fleet-settings.js';
export * from './load-settings.js';
export * from './settings.js';
export * from './settings-error.js';
