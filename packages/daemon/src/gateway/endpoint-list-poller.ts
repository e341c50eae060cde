import type {
  EndpointListing,
  EndpointSource,
} from '@skylarkreach/core/forwarding';
import type { Clock, Log, Metrics, Random } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import type { DependencyMonitor } from './dependency-monitor.js';

/** Time after which another read is started beside one that has not ended, on a new connection. */
const PATIENCE_MS = 700; // the store answers within a few ms; a dead connection shows no other sign
/** Time after which a read is abandoned. */
const READ_TIMEOUT_MS = 4_000; // a list of two pages on a link that other traffic holds up for seconds
const MAX_READS_IN_FLIGHT = 4;
/** Maximum jitter as a share of the interval. */
const JITTER_SHARE = 0.5;
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
  /** Time from which a daemon that is no reader reads the list itself. */
  readonly maxFollowedAgeMs: number;
  /** Whether this daemon reads the store for others. */
  readonly isReader: () => boolean;
  /** Latest start of a successful read by a peer. */
  readonly lastPeerReadAtMs: () => number;
  /** Called with each list that was read and the time at which the read began. */
  readonly onListing: (listing: EndpointListing, readAtMs: number) => void;
}

/**
 * Polls the list of endpoints, and skips a poll if another daemon has read the
 * list recently; readers poll before the others. The random jitter added to each wait leaves most reads to one
 * daemon (Trickle: Levis, Patel, Culler and Shenker, 2004).
 */
export class EndpointListPoller {
  /** Start time of this daemon's last successful read; -Infinity before the first. */
  lastOwnReadAtMs = -Infinity;
  /** Whether the last read failed or has not ended in time. */
  private isOverdue = false;
  private readsInFlight = 0;
  private jitterMs = 0;

  constructor(private readonly deps: EndpointListPollerDependencies) {}

  /** Reads the list if a read is due. */
  async step(): Promise<void> {
    const { clock } = this.deps;
    if (clock.nowMs() < this.dueAtMs()) return;
    await this.readNow();
  }

  nextAtMs(nowMs: number): number {
    if (this.isOverdue) {
      return nowMs + RETRY_MS + this.deps.random.nextInteger(RETRY_MS);
    }
    // The role may change meanwhile.
    const checkAtMs = nowMs + this.deps.intervalMs / 2;
    return Math.max(nowMs + 1, Math.min(this.dueAtMs(), checkAtMs));
  }

  /** Returns the start time of the last read that confirms the list in use, by this daemon or a peer; -Infinity before the first. */
  lastReadAtMs(): number {
    return Math.max(this.lastOwnReadAtMs, this.deps.lastPeerReadAtMs());
  }

  /**
   * Reads the list, whether or not a read is due. Resolves once the read ends or
   * `PATIENCE_MS` have passed; a slow read goes on, and the next one runs beside it.
   */
  async readNow(): Promise<void> {
    if (this.readsInFlight >= MAX_READS_IN_FLIGHT) return;
    const { clock, random } = this.deps;
    const readAtMs = clock.nowMs();
    this.jitterMs = random.nextInteger(this.deps.intervalMs * JITTER_SHARE);
    const readEnd = new AbortController();
    const patience = clock
      .waitUntil(readAtMs + PATIENCE_MS, readEnd.signal)
      .then(
        () => {
          this.isOverdue = true;
        },
        () => undefined, // the read ended first
      );
    const read = this.read(readAtMs).finally(() => {
      readEnd.abort();
    });
    await Promise.race([read, patience]);
  }

  private async read(readAtMs: number): Promise<void> {
    const { clock, monitor, metrics, source, onListing } = this.deps;
    const deadlineAtMs = readAtMs + READ_TIMEOUT_MS;
    const isBesideAnother = this.readsInFlight > 0;
    this.readsInFlight += 1;
    try {
      const listing = await source.readNow(deadlineAtMs, isBesideAnother);
      this.lastOwnReadAtMs = Math.max(this.lastOwnReadAtMs, readAtMs);
      this.isOverdue = false;
      monitor.recordSuccess(clock.nowMs());
      metrics.increment('endpoints.reads');
      if (listing.malformed > 0) this.reportMalformed(listing.malformed);
      onListing(listing, readAtMs);
    } catch (error) {
      // A later read may have succeeded beside this one.
      if (this.lastOwnReadAtMs > readAtMs) return;
      this.isOverdue = true;
      monitor.recordFailure(error, clock.nowMs());
    } finally {
      this.readsInFlight -= 1;
    }
  }

  private dueAtMs(): number {
    const { intervalMs, isReader, maxFollowedAgeMs } = this.deps;
    const maxAgeMs = isReader() ? intervalMs : maxFollowedAgeMs;
    return this.lastReadAtMs() + maxAgeMs + this.jitterMs;
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
