import { StatsD } from 'hot-shots';

import type { Address, Metrics, MetricTags } from '@skylarkreach/core/ports';
import { noopMetrics } from '@skylarkreach/core/ports';

const METRIC_PREFIX = 'skylarkreach.';

/** Metrics sent to a StatsD server over UDP (with hot-shots). */
export class StatsdMetrics implements Metrics {
  private readonly client: StatsD;

  constructor(address: Address, dataCentre: string) {
    const [host, port] = address.split(':');
    this.client = new StatsD({
      host,
      port: Number(port),
      prefix: METRIC_PREFIX,
      globalTags: { dataCentre },
      errorHandler: () => {
        // Metrics are lost while the collector is unavailable; requests are still served.
      },
    });
  }

  increment(name: string, count = 1, tags: MetricTags = {}): void {
    this.client.increment(name, count, { ...tags });
  }

  gauge(name: string, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, { ...tags });
  }

  timingMs(name: string, elapsedMs: number, tags: MetricTags = {}): void {
    this.client.timing(name, elapsedMs, { ...tags });
  }
}

/** Returns metrics that are sent to `address`, or discarded where it is undefined. */
export function createMetrics(
  address: Address | undefined,
  dataCentre: string,
): Metrics {
  return address === undefined
    ? noopMetrics
    : new StatsdMetrics(address, dataCentre);
}
