import type {
  Clock,
  Log,
  LogComponent,
  Metrics,
  Random,
} from '@skylarkreach/core/ports';

import type { DependencyMonitor } from './dependency-monitor.js';

const MAX_READS_IN_FLIGHT = 4;
/** Maximum jitter as a share of the interval. */
const JITTER_SHARE = 0.5;
const RETRY_MS = 200;

/** How often a state is read, and how long its reads may take. */
export interface PollTiming {
  /** Time between two reads of the state by all daemons together. */
  readonly intervalMs: number;
  /** Age of the last known read from which a daemon that is no reader reads by itself. */
  readonly maxFollowedAgeMs: number;
  /** Time after which another read is started beside one that has not ended, on a new connection: a dead connection shows no other sign. */
  readonly patienceMs: number;
  /** Time after which a read is abandoned. */
  readonly readTimeoutMs: number;
}

export interface StatePollerDependencies {
  /** Name of the state in logs and metrics. */
  readonly name: string;
  readonly part: LogComponent;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly monitor: DependencyMonitor;
  readonly timing: PollTiming;
  /** Reads and applies the state, on a new connection if `freshConnection` is set. Throws `PlatformError`. */
  readonly read: (
    deadlineAtMs: number,
    freshConnection: boolean,
  ) => Promise<void>;
  /** Whether this daemon reads the store for others. */
  readonly isReader: () => boolean;
  /** Latest start of a successful read other than by this poller; -Infinity before the first. */
  readonly lastOtherReadAtMs: () => number;
}

/**
 * Polls a state in the store, and skips a poll if another daemon has read the
 * state recently; readers poll before the others. Only a read that was answered
 * confirms the state, as of its start: a call that waits may wait on a dead
 * connection. The random jitter added to each wait leaves most reads to one
 * daemon (Trickle: Levis, Patel, Culler and Shenker, 2004).
 */
export class StatePoller {
  /** Start time of this daemon's last successful read; -Infinity before the first. */
  private lastOwnReadAtMs = -Infinity;
  /** Whether the last read failed or has not ended in time. */
  private isOverdue = false;
  /** Whether the only read in flight hangs, so that the next one, on a connection of its own, need not wait. */
  private isAloneHanging = false;
  private readsInFlight = 0;
  private jitterMs = 0;

  constructor(private readonly deps: StatePollerDependencies) {}

  /** Reads the state if a read is due. */
  async step(): Promise<void> {
    const { clock } = this.deps;
    if (clock.nowMs() < this.dueAtMs()) return;
    await this.readNow();
  }

  nextAtMs(nowMs: number): number {
    // A peer may have read meanwhile.
    if (this.isAloneHanging) return Math.max(nowMs + 1, this.dueAtMs());
    if (this.isOverdue) {
      return nowMs + RETRY_MS + this.deps.random.nextInteger(RETRY_MS);
    }
    // The role may change meanwhile.
    const checkAtMs = nowMs + this.deps.timing.intervalMs;
    return Math.max(nowMs + 1, Math.min(this.dueAtMs(), checkAtMs));
  }

  /** Returns the start time of the last read that confirms the state in use, by this daemon or a peer; -Infinity before the first. */
  lastReadAtMs(): number {
    return Math.max(this.lastOwnReadAtMs, this.deps.lastOtherReadAtMs());
  }

  /**
   * Reads the state, whether or not a read is due. Resolves once the read ends or
   * the patience is over; a slow read goes on, and the next one runs beside it.
   */
  async readNow(): Promise<void> {
    if (this.readsInFlight >= MAX_READS_IN_FLIGHT) return;
    const { clock, random, timing } = this.deps;
    const readAtMs = clock.nowMs();
    // A read that follows one which hangs or failed is due as soon as that was.
    if (!this.isOverdue)
      this.jitterMs = random.nextInteger(timing.intervalMs * JITTER_SHARE);
    this.isAloneHanging = false;
    const readEnd = new AbortController();
    const patience = clock
      .waitUntil(readAtMs + timing.patienceMs, readEnd.signal)
      .then(
        () => {
          this.isOverdue = true;
          this.isAloneHanging = this.readsInFlight === 1;
          this.reportHanging();
        },
        () => undefined, // the read ended first
      );
    const read = this.read(readAtMs).finally(() => {
      readEnd.abort();
    });
    await Promise.race([read, patience]);
  }

  private async read(readAtMs: number): Promise<void> {
    const { clock, metrics, monitor, name, timing } = this.deps;
    const deadlineAtMs = readAtMs + timing.readTimeoutMs;
    const isBesideAnother = this.readsInFlight > 0;
    this.readsInFlight += 1;
    try {
      await this.deps.read(deadlineAtMs, isBesideAnother);
      this.lastOwnReadAtMs = Math.max(this.lastOwnReadAtMs, readAtMs);
      this.isOverdue = false;
      this.isAloneHanging = false;
      monitor.recordSuccess(clock.nowMs());
      metrics.increment(`${name}.reads`);
    } catch (error) {
      // A later read may have succeeded beside this one.
      if (this.lastOwnReadAtMs > readAtMs) return;
      this.isOverdue = true;
      this.isAloneHanging = false;
      monitor.recordFailure(error, clock.nowMs());
    } finally {
      this.readsInFlight -= 1;
    }
  }

  private dueAtMs(): number {
    const { isReader, timing } = this.deps;
    const maxAgeMs = isReader() ? timing.intervalMs : timing.maxFollowedAgeMs;
    return this.lastReadAtMs() + maxAgeMs + this.jitterMs;
  }

  private reportHanging(): void {
    const { clock, log, metrics, name, part } = this.deps;
    metrics.increment(`${name}.hangingReads`);
    log.info(part, 'A read of the store hangs; another one is started.', {
      name,
      readsInFlight: this.readsInFlight,
      confirmedAgoMs: Math.round(clock.nowMs() - this.lastReadAtMs()),
    });
  }
}
