import type {
  OperatorSource,
  OperatorState,
} from '@skylarkreach/core/forwarding';
import type { Clock, Random } from '@skylarkreach/core/ports';

import type { Dependency } from './dependency.js';

/** Longest wait of one watch; a connection that has gone silent is given up soon after it. */
const WATCH_MS = 2_500; // with the margin, within the 3 s after which an instance counts as in touch again
const READ_TIMEOUT_MS = 1_000;
const RETRY_MS = 200;

export interface OperatorWatchParts {
  readonly source: OperatorSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly dependency: Dependency;
  readonly take: (state: OperatorState) => void;
}

/** Follows what operators write. */
export class OperatorWatch {
  private revision: number | undefined;
  private hasFailed = false;

  constructor(private readonly parts: OperatorWatchParts) {}

  /** Waits for one change, or for the watch's end. */
  async step(): Promise<void> {
    const { clock, dependency, source, take } = this.parts;
    const nowMs = clock.nowMs();
    try {
      const state =
        this.revision === undefined
          ? await source.readNow(nowMs + READ_TIMEOUT_MS)
          : await source.watch(this.revision, nowMs + WATCH_MS);
      this.hasFailed = false;
      this.revision = Math.max(this.revision ?? 0, state.revision);
      dependency.answered(clock.nowMs());
      take(state);
    } catch (error) {
      this.hasFailed = true;
      dependency.failed(error, clock.nowMs());
      // What was missed meanwhile is read whole.
      this.revision = undefined;
    }
  }

  nextAtMs(nowMs: number): number {
    if (!this.hasFailed) return nowMs;
    return nowMs + RETRY_MS + this.parts.random.nextInteger(RETRY_MS);
  }
}
