export * from './admission.js';
export * from './concurrency-limit.js';
export * from './fair-admission.js';
export * from './in-flight-admission.js';
