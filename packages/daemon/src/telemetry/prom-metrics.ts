import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import type { Metrics, MetricTags } from '@skylarkreach/core/ports';

const METRIC_PREFIX = 'skylarkreach_';

/** Upper bounds of the latency histogram's buckets in milliseconds, from the latency objective of a lookup to the longest deadline. */
const LATENCY_BUCKETS_MS = [
  5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 12_000,
];

/** Metrics exposed in the Prometheus text format. */
export class PromMetrics implements Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly histograms = new Map<string, Histogram>();

  increment(name: string, count = 1, tags: MetricTags = {}): void {
    const counter = getOrCreate(this.counters, name, () => {
      return new Counter(this.options(`${metricName(name)}_total`, name, tags));
    });
    counter.inc({ ...tags }, count);
  }

  gauge(name: string, value: number, tags: MetricTags = {}): void {
    const gauge = getOrCreate(this.gauges, name, () => {
      return new Gauge(this.options(metricName(name), name, tags));
    });
    gauge.set({ ...tags }, value);
  }

  timingMs(name: string, elapsedMs: number, tags: MetricTags = {}): void {
    const histogram = getOrCreate(this.histograms, name, () => {
      return new Histogram({
        ...this.options(`${metricName(name)}_duration_ms`, name, tags),
        buckets: LATENCY_BUCKETS_MS,
      });
    });
    histogram.observe({ ...tags }, elapsedMs);
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  private options(name: string, help: string, tags: MetricTags) {
    const labelNames = Object.keys(tags);
    return { name, help, labelNames, registers: [this.registry] };
  }
}

function getOrCreate<Metric>(
  metrics: Map<string, Metric>,
  name: string,
  create: () => Metric,
): Metric {
  let metric = metrics.get(name);
  if (metric === undefined) {
    metric = create();
    metrics.set(name, metric);
  }
  return metric;
}

function metricName(name: string): string {
  return METRIC_PREFIX + name.replace(/\./g, '_');
}
