import { setTimeout as delay } from 'node:timers/promises';

import type { Clock } from '@skylarkreach/core/ports';

/** Wall clock of the machine. */
export class SystemClock implements Clock {
  nowMs(): number {
    return Date.now();
  }

  async waitUntil(atMs: number, signal?: AbortSignal): Promise<void> {
    const remainingMs = atMs - Date.now();
    if (remainingMs <= 0) return;
    await delay(Math.min(remainingMs, MAX_TIMER_MS), undefined, { signal });
  }
}

/** Longest delay that a Node.js timer takes. */
const MAX_TIMER_MS = 2_147_483_647;
