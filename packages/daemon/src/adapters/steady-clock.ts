import type { Clock } from '@skylarkreach/core/ports';

import { waitForMs } from './system-clock.js';

/**
 * Monotonic clock that starts at the wall clock's time and ignores later
 * adjustments of the system time. Time in which the instance is paused does not count.
 */
export class SteadyClock implements Clock {
  /** Read once: the property is computed at each use. */
  private readonly originMs = performance.timeOrigin;

  nowMs(): number {
    return this.originMs + performance.now();
  }

  waitUntil(atMs: number, signal?: AbortSignal): Promise<void> {
    return waitForMs(atMs - this.nowMs(), signal);
  }
}
