/** Wall clock and timers. Injected in place of system time, so that tests and simulations control time. */
export interface Clock {
  /** Milliseconds since the Unix epoch. */
  nowMs(): number;
  /**
   * Resolves at `atMs`, or immediately where that time has passed.
   * Rejects with the reason of `signal` where it is aborted first.
   */
  waitUntil(atMs: number, signal?: AbortSignal): Promise<void>;
}

interface Waiter {
  readonly atMs: number;
  readonly resolve: () => void;
}

/** Manually advanced clock for tests and simulations. */
export class ManualClock implements Clock {
  private waiters: Waiter[] = [];

  constructor(private currentMs = 0) {}

  nowMs(): number {
    return this.currentMs;
  }

  waitUntil(atMs: number, signal?: AbortSignal): Promise<void> {
    if (atMs <= this.currentMs) return Promise.resolve();
    return new Promise((resolve, reject) => {
      const waiter: Waiter = {
        atMs,
        resolve: () => {
          signal?.removeEventListener('abort', onAbort);
          resolve();
        },
      };
      const onAbort = () => {
        this.waiters = this.waiters.filter(other => other !== waiter);
        reject(abortReason(signal));
      };
      if (signal?.aborted === true) {
        reject(abortReason(signal));
        return;
      }
      signal?.addEventListener('abort', onAbort, { once: true });
      this.waiters.push(waiter);
    });
  }

  /**
   * Advances the time to `atMs` and resolves waiters in order of their deadlines.
   * Runs pending callbacks after each waiter, so that a wait which one of them
   * starts and which ends before `atMs` is resolved too.
   */
  async advanceTo(atMs: number): Promise<void> {
    await runPendingCallbacks();
    for (;;) {
      const next = this.removeEarliestDue(atMs);
      if (next === undefined) break;
      this.currentMs = Math.max(this.currentMs, next.atMs);
      next.resolve();
      await runPendingCallbacks();
    }
    this.currentMs = Math.max(this.currentMs, atMs);
    await runPendingCallbacks();
  }

  /** Returns the earliest deadline of the waiters, in milliseconds, or undefined without waiters. */
  earliestDeadlineMs(): number | undefined {
    if (this.waiters.length === 0) return undefined;
    return Math.min(...this.waiters.map(waiter => waiter.atMs));
  }

  private removeEarliestDue(maxAtMs: number): Waiter | undefined {
    let earliest: Waiter | undefined;
    for (const waiter of this.waiters) {
      if (waiter.atMs > maxAtMs) continue;
      if (earliest === undefined || waiter.atMs < earliest.atMs) {
        earliest = waiter;
      }
    }
    if (earliest !== undefined) {
      this.waiters = this.waiters.filter(other => other !== earliest);
    }
    return earliest;
  }
}

function abortReason(signal: AbortSignal | undefined): Error {
  const reason: unknown = signal?.reason;
  return reason instanceof Error ? reason : new Error('The wait was aborted.');
}

/** Runs pending promise callbacks by yielding to the event loop several times. */
async function runPendingCallbacks(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise<void>(resolve => {
      setImmediate(resolve);
    });
  }
}
