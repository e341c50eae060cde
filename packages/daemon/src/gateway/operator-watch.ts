import type {
  OperatorSource,
  OperatorState,
} from '@skylarkreach/core/forwarding';
import type { Clock, Random } from '@skylarkreach/core/ports';

import type { DependencyMonitor } from './dependency-monitor.js';

/** Maximum duration of one watch; an unresponsive connection is abandoned soon after it. */
const WATCH_TIMEOUT_MS = 2_500; // with the store client's margin, at most the 3 s after which an instance counts as in contact again
const READ_TIMEOUT_MS = 1_000;
const RETRY_MS = 200;
/** Interval at which a daemon that follows others checks that they still read. */
const FOLLOW_CHECK_MS = 100;

export interface OperatorWatchDependencies {
  readonly source: OperatorSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly monitor: DependencyMonitor;
  /** Whether this daemon reads the store for others. */
  readonly isReader: () => boolean;
  /** Latest time at which a peer's watch was known to work; -Infinity where none was. */
  readonly lastPeerReadAtMs: () => number;
  /** Age of the last such news from which a daemon that is no reader watches by itself. */
  readonly maxFollowedAgeMs: number;
  readonly onState: (state: OperatorState) => void;
}

/**
 * Follows the operator state in the store through long-polling watches. A daemon
 * that is no reader gets changes from the readers, and watches only while it
 * does not know of a watch that works.
 */
export class OperatorWatch {
  private revision: number | undefined;
  private hasFailed = false;
  private isWatching = false;
  private lastReadAtMs = -Infinity;

  constructor(private readonly deps: OperatorWatchDependencies) {}

  /**
   * Returns the latest time at which the state was confirmed by this daemon or a
   * peer; -Infinity before the first. A watch that waits is taken to work, since
   * the store answers it at once when something changes.
   */
  confirmedAtMs(): number {
    const { clock, lastPeerReadAtMs } = this.deps;
    if (this.isWatching) return clock.nowMs();
    return Math.max(this.lastReadAtMs, lastPeerReadAtMs());
  }

  /** Waits for one change or until the watch times out; reads the whole state first. Does nothing while this daemon follows others. */
  async step(): Promise<void> {
    if (this.isFollowing()) return;
    const { clock, monitor, source, onState } = this.deps;
    const nowMs = clock.nowMs();
    try {
      this.isWatching = !this.hasFailed && this.revision !== undefined;
      const state =
        this.revision === undefined
          ? await source.readNow(nowMs + READ_TIMEOUT_MS)
          : await source.watch(this.revision, nowMs + WATCH_TIMEOUT_MS);
      this.hasFailed = false;
      this.revision = Math.max(this.revision ?? 0, state.revision);
      this.lastReadAtMs = clock.nowMs();
      monitor.recordSuccess(clock.nowMs());
      onState(state);
    } catch (error) {
      this.hasFailed = true;
      monitor.recordFailure(error, clock.nowMs());
      // The next step reads the whole state, to include changes missed meanwhile.
      this.revision = undefined;
    } finally {
      this.isWatching = false;
    }
  }

  nextAtMs(nowMs: number): number {
    if (this.hasFailed) {
      return nowMs + RETRY_MS + this.deps.random.nextInteger(RETRY_MS);
    }
    return this.isFollowing() ? nowMs + FOLLOW_CHECK_MS : nowMs;
  }

  private isFollowing(): boolean {
    const { clock, isReader, maxFollowedAgeMs } = this.deps;
    if (this.revision === undefined || isReader()) return false;
    return clock.nowMs() - this.confirmedAtMs() <= maxFollowedAgeMs;
  }
}
