export * from './error-text.js';
export * from './pino-log.js';
export * from './prom-metrics.js';
export * from './rate-limited-log.js';
export * from './statsd-metrics.js';
export * from './unhandled-rejections.js';
