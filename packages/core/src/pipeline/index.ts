export * from './identify.js';
export * from './model-pipeline.js';
export * from './pipeline-parts.js';
export * from './request.js';
export * from './request-error.js';
export * from './service-outcomes.js';
export * from './service-pipeline.js';
export * from './service-traits.js';
