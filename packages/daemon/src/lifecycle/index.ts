export * from './daemon-lifecycle.js';
export * from './uncaught-exceptions.js';
