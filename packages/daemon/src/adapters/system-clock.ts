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

/**
 * Waits for the given time, up to the longest delay of a timer. Rejects with the
 * reason of the signal if it is aborted first; the promises of `node:timers` create
 * an error with a stack trace for each.
 */
export function waitForMs(
  remainingMs: number,
  signal?: AbortSignal,
): Promise<void> {
  if (remainingMs <= 0) return Promise.resolve();
  const delayMs = Math.min(Math.ceil(remainingMs), MAX_TIMER_MS);
  return new Promise((resolve, reject) => {
    if (signal?.aborted === true) {
      reject(reasonOf(signal));
      return;
    }
    const onAbort = () => {
      clearTimeout(timer);
      if (signal !== undefined) reject(reasonOf(signal));
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener('abort', onAbort);
      resolve();
    }, delayMs);
    signal?.addEventListener('abort', onAbort, { once: true });
  });
}

function reasonOf({ reason }: AbortSignal): Error {
  return reason instanceof Error ? reason : new Error(String(reason));
}
