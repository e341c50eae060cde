export * from './identify.js';
export * from './model-pipeline.js';
export * from './pipeline-parts.js';
export * from './repeatable-dispatch.js';
export * from './request.js';
export * from './request-error.js';
export * from './service-pipeline.js';
