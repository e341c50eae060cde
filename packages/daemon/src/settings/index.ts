export * from './load-settings.js';
export * from './settings.js';
export * from './settings-error.js';
