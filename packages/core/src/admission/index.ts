export * from './admission.js';
export * from './in-flight-admission.js';
