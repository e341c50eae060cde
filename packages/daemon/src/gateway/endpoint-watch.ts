import type {
  EndpointListing,
  EndpointSource,
} from '@skylarkreach/core/forwarding';
import type { Clock, Log, Metrics, Random } from '@skylarkreach/core/ports';
import { LogPart } from '@skylarkreach/core/ports';

import type { Dependency } from './dependency.js';

const READ_TIMEOUT_MS = 700;
const RETRY_MS = 200;

export interface EndpointWatchParts {
  readonly source: EndpointSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly dependency: Dependency;
  /** Time between two reads by all daemons together. */
  readonly intervalMs: number;
  /** Time at which some daemon last began a read that succeeded. */
  readonly lastReadAtMs: () => number;
  readonly take: (listing: EndpointListing, readAtMs: number) => void;
}

/**
 * Reads the list of endpoints where no daemon has done so lately. The random
 * part of each wait leaves most reads to one daemon (Trickle: Levis, Patel,
 * Culler and Shenker, 2004).
 */
export class EndpointWatch {
  /** Time at which the last read of this daemon that succeeded began. */
  lastOwnReadAtMs = -Infinity;
  private hasFailed = false;
  private jitterMs = 0;

  constructor(private readonly parts: EndpointWatchParts) {}

  async step(): Promise<void> {
    const { clock } = this.parts;
    if (clock.nowMs() < this.dueAtMs()) return;
    await this.readNow();
  }

  nextAtMs(nowMs: number): number {
    if (this.hasFailed) {
      return nowMs + RETRY_MS + this.parts.random.nextInteger(RETRY_MS);
    }
    return Math.max(nowMs + 1, this.dueAtMs());
  }

  async readNow(): Promise<void> {
    const { clock, dependency, metrics, random, source, take } = this.parts;
    const readAtMs = clock.nowMs();
    this.jitterMs = random.nextInteger(this.parts.intervalMs / 2);
    try {
      const listing = await source.readNow(readAtMs + READ_TIMEOUT_MS);
      this.lastOwnReadAtMs = readAtMs;
      this.hasFailed = false;
      dependency.answered(clock.nowMs());
      metrics.increment('endpoints.reads');
      if (listing.malformed > 0) this.noteMalformed(listing.malformed);
      take(listing, readAtMs);
    } catch (error) {
      this.hasFailed = true;
      dependency.failed(error, clock.nowMs());
    }
  }

  private dueAtMs(): number {
    const lastAtMs = Math.max(this.lastOwnReadAtMs, this.parts.lastReadAtMs());
    return lastAtMs + this.parts.intervalMs + this.jitterMs;
  }

  private noteMalformed(entries: number): void {
    this.parts.metrics.increment('endpoints.malformed', entries);
    this.parts.log.warn(
      LogPart.Routing,
      'Entries of endpoints cannot be read and are skipped.',
      { entries },
    );
  }
}
