import type {
  EndpointListing,
  EndpointSource,
} from '@skylarkreach/core/forwarding';
import type { Clock, Log, Metrics, Random } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import type { DependencyMonitor } from './dependency-monitor.js';

const READ_TIMEOUT_MS = 700;
const RETRY_MS = 200;

export interface EndpointListPollerDependencies {
  readonly source: EndpointSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly monitor: DependencyMonitor;
  /** Time between two reads of the list by all daemons together. */
  readonly intervalMs: number;
  /** Start time of the last successful read by a peer. */
  readonly lastPeerReadAtMs: () => number;
  /** Called with each list that was read and the time at which the read began. */
  readonly onListing: (listing: EndpointListing, readAtMs: number) => void;
}

/**
 * Polls the list of endpoints, and skips a poll if another daemon has read the
 * list recently. The random jitter added to each wait leaves most reads to one
 * daemon (Trickle: Levis, Patel, Culler and Shenker, 2004).
 */
export class EndpointListPoller {
  /** Start time of this daemon's last successful read; -Infinity before the first. */
  lastOwnReadAtMs = -Infinity;
  private hasFailed = false;
  private jitterMs = 0;

  constructor(private readonly deps: EndpointListPollerDependencies) {}

  /** Reads the list if a read is due. */
  async step(): Promise<void> {
    const { clock } = this.deps;
    if (clock.nowMs() < this.dueAtMs()) return;
    await this.readNow();
  }

  nextAtMs(nowMs: number): number {
    if (this.hasFailed) {
      return nowMs + RETRY_MS + this.deps.random.nextInteger(RETRY_MS);
    }
    return Math.max(nowMs + 1, this.dueAtMs());
  }

  /** Returns the start time of the last read that confirms the list in use, by this daemon or a peer; -Infinity before the first. */
  lastReadAtMs(): number {
    return Math.max(this.lastOwnReadAtMs, this.deps.lastPeerReadAtMs());
  }

  /** Reads the list, whether or not a read is due. */
  async readNow(): Promise<void> {
    const { clock, monitor, metrics, random, source, onListing } = this.deps;
    const readAtMs = clock.nowMs();
    this.jitterMs = random.nextInteger(this.deps.intervalMs / 2);
    try {
      const listing = await source.readNow(readAtMs + READ_TIMEOUT_MS);
      this.lastOwnReadAtMs = readAtMs;
      this.hasFailed = false;
      monitor.recordSuccess(clock.nowMs());
      metrics.increment('endpoints.reads');
      if (listing.malformed > 0) this.reportMalformed(listing.malformed);
      onListing(listing, readAtMs);
    } catch (error) {
      this.hasFailed = true;
      monitor.recordFailure(error, clock.nowMs());
    }
  }

  private dueAtMs(): number {
    return this.lastReadAtMs() + this.deps.intervalMs + this.jitterMs;
  }

  private reportMalformed(entries: number): void {
    this.deps.metrics.increment('endpoints.malformed', entries);
    this.deps.log.warn(
      LogComponent.Routing,
      'Malformed endpoint entries were skipped.',
      { entries },
    );
  }
}
