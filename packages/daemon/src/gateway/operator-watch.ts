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

export interface OperatorWatchDependencies {
  readonly source: OperatorSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly monitor: DependencyMonitor;
  readonly onState: (state: OperatorState) => void;
}

/** Follows the operator state in the store through long-polling watches. */
export class OperatorWatch {
  private revision: number | undefined;
  private hasFailed = false;

  constructor(private readonly deps: OperatorWatchDependencies) {}

  /** Waits for one change or until the watch times out; reads the whole state first. */
  async step(): Promise<void> {
    const { clock, monitor, source, onState } = this.deps;
    const nowMs = clock.nowMs();
    try {
      const state =
        this.revision === undefined
          ? await source.readNow(nowMs + READ_TIMEOUT_MS)
          : await source.watch(this.revision, nowMs + WATCH_TIMEOUT_MS);
      this.hasFailed = false;
      this.revision = Math.max(this.revision ?? 0, state.revision);
      monitor.recordSuccess(clock.nowMs());
      onState(state);
    } catch (error) {
      this.hasFailed = true;
      monitor.recordFailure(error, clock.nowMs());
      // The next step reads the whole state, to include changes missed meanwhile.
      this.revision = undefined;
    }
  }

  nextAtMs(nowMs: number): number {
    if (!this.hasFailed) return nowMs;
    return nowMs + RETRY_MS + this.deps.random.nextInteger(RETRY_MS);
  }
}
