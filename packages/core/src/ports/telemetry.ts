/** Component that writes a log line; printed as the prefix of the line. */
export enum LogComponent {
  Daemon = 'daemon',
  Pipeline = 'pipeline',
  Rules = 'rules',
  Routing = 'routing',
  Admission = 'admission',
  Streams = 'streams',
  Claims = 'claims',
  Moves = 'moves',
  Membership = 'membership',
  Fleet = 'fleet',
  Forwarding = 'forwarding',
  Configuration = 'configuration',
  Duties = 'duties',
}

export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Structured logger. Messages are short sentences. */
export interface Log {
  info(part: LogComponent, message: string, fields?: LogFields): void;
  warn(part: LogComponent, message: string, fields?: LogFields): void;
  error(part: LogComponent, message: string, fields?: LogFields): void;
}

export type MetricTags = Readonly<Record<string, string>>;

/** Counters, gauges and timings, which the daemon sends to StatsD. */
export interface Metrics {
  increment(name: string, count?: number, tags?: MetricTags): void;
  gauge(name: string, value: number, tags?: MetricTags): void;
  timingMs(name: string, elapsedMs: number, tags?: MetricTags): void;
}

/** Logger that discards every line. */
export const noopLog: Log = {
  info: noop,
  warn: noop,
  error: noop,
};

/** Metrics that discard every value. */
export const noopMetrics: Metrics = {
  increment: noop,
  gauge: noop,
  timingMs: noop,
};

function noop(): void {
  // For tests and simulations that read no telemetry.
}
