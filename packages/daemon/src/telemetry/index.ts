export * from './bounded-log.js';
export * from './pino-log.js';
export * from './prom-metrics.js';
export * from './statsd-metrics.js';
