/** Part of the system that a log line comes from; printed as the line's prefix. */
export enum LogPart {
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

/** Structured log. Messages are short sentences. */
export interface Log {
  info(part: LogPart, message: string, fields?: LogFields): void;
  warn(part: LogPart, message: string, fields?: LogFields): void;
  error(part: LogPart, message: string, fields?: LogFields): void;
}

export type MetricTags = Readonly<Record<string, string>>;

/** Counters, gauges and timings, sent to StatsD by the daemon. */
export interface Metrics {
  increment(name: string, count?: number, tags?: MetricTags): void;
  gauge(name: string, value: number, tags?: MetricTags): void;
  timingMs(name: string, elapsedMs: number, tags?: MetricTags): void;
}

export const silentLog: Log = {
  info: ignore,
  warn: ignore,
  error: ignore,
};

export const silentMetrics: Metrics = {
  increment: ignore,
  gauge: ignore,
  timingMs: ignore,
};

function ignore(): void {
  // A test or an experiment that reads no telemetry.
}
