export * from './pino-log.js';
export * from './statsd-metrics.js';
