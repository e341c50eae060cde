import { setTimeout as delay } from 'node:timers/promises';

import type { Clock } from '@skylarkreach/core/ports';

/** Longest delay that a Node.js timer supports. */
const MAX_TIMER_MS = 2_147_483_647;

/** Wall clock of the instance. */
export class SystemClock implements Clock {
  nowMs(): number {
    return Date.now();
  }

  waitUntil(atMs: number, signal?: AbortSignal): Promise<void> {
    return waitForMs(atMs - Date.now(), signal);
  }
}

/** Waits for the given time, up to the longest delay of a timer. Rejects with an `AbortError` if the signal is aborted first. */
export async function waitForMs(
  remainingMs: number,
  signal?: AbortSignal,
): Promise<void> {
  if (remainingMs <= 0) return;
  const delayMs = Math.min(Math.ceil(remainingMs), MAX_TIMER_MS);
  await delay(delayMs, undefined, { signal });
}
