import type { Clock } from '@skylarkreach/core/ports';

import { waitMs } from './system-clock.js';

/**
 * Clock that starts at the wall clock's time and never jumps, whatever happens
 * to the time of day. It does not count time in which the instance is paused.
 */
export class SteadyClock implements Clock {
  nowMs(): number {
    return performance.timeOrigin + performance.now();
  }

  waitUntil(atMs: number, signal?: AbortSignal): Promise<void> {
    return waitMs(atMs - this.nowMs(), signal);
  }
}
