import type { Clock } from '@skylarkreach/core/ports';

import type { DependencyMonitor } from './dependency-monitor.js';
import type { OperatorStateReader } from './operator-state-reader.js';

/** Maximum duration of one watch; an unresponsive connection is abandoned soon after it. */
const WATCH_TIMEOUT_MS = 10_000; // reads notice what a dead connection hides
/** Interval at which a daemon that does not watch checks whether it has to. */
const ROLE_CHECK_MS = 500; // membership changes within seconds

export interface OperatorWatchDependencies {
  readonly reader: Pick<
    OperatorStateReader,
    'lastReadAtMs' | 'requireWhole' | 'watch'
  >;
  readonly clock: Clock;
  readonly monitor: DependencyMonitor;
  /** Whether this daemon reads the store for others. */
  readonly isReader: () => boolean;
}

/**
 * Follows the operators' state through long-polling watches where this daemon
 * reads the store for others, so that changes are known at once. A watch that
 * waits confirms nothing, since its connection may be dead. After one that failed,
 * the next begins once a read has shown that the store answers.
 */
export class OperatorWatch {
  private failedAtMs = -Infinity;

  constructor(private readonly deps: OperatorWatchDependencies) {}

  /** Waits for one change or until the watch times out. */
  async step(): Promise<void> {
    const { clock, monitor, reader } = this.deps;
    if (!this.isWatching()) return;
    try {
      await reader.watch(clock.nowMs() + WATCH_TIMEOUT_MS);
      monitor.recordSuccess(clock.nowMs());
    } catch (error) {
      this.failedAtMs = clock.nowMs();
      monitor.recordFailure(error, clock.nowMs());
      reader.requireWhole();
    }
  }

  nextAtMs(nowMs: number): number {
    return this.isWatching() ? nowMs : nowMs + ROLE_CHECK_MS;
  }

  private isWatching(): boolean {
    const { isReader, reader } = this.deps;
    return reader.lastReadAtMs > this.failedAtMs && isReader();
  }
}
