import { LOOP_SAMPLE_INTERVAL_MS } from '@skylarkreach/core/dispatch-queue';
import type { Clock } from '@skylarkreach/core/ports';

import type { Poller } from '../loops/index.js';

/** Timer that reports by how many milliseconds the event loop ran it late. */
export class LoopDelayTimer implements Poller {
  private dueAtMs: number | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly onDelay: (delayMs: number) => void,
  ) {}

  step(): Promise<void> {
    if (this.dueAtMs !== undefined)
      this.onDelay(Math.max(0, this.clock.nowMs() - this.dueAtMs));
    return Promise.resolve();
  }

  nextAtMs(nowMs: number): number {
    this.dueAtMs = nowMs + LOOP_SAMPLE_INTERVAL_MS;
    return this.dueAtMs;
  }
}
