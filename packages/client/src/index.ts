export * from './caller-client.js';
export * from './errors.js';
export * from './requests.js';
