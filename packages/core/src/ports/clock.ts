/** Source of wall-clock time and of waits. Decisions take it instead of setting timers. */
export interface Clock {
  /** Milliseconds since the Unix epoch. */
  nowMs(): number;
  /**
   * Resolves at `atMs`, or at once where that time has passed.
   * Rejects with the signal's reason when `signal` is aborted first.
   */
  waitUntil(atMs: number, signal?: AbortSignal): Promise<void>;
}

interface Waiter {
  readonly atMs: number;
  readonly resolve: () => void;
}

/** Clock that moves only when a test or an experiment advances it. */
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
   * Moves time forward to `atMs`, waking waiters in order of their deadlines.
   * Runs pending microtasks after each waiter, so that code which waits again
   * before `atMs` is woken too.
   */
  async advanceTo(atMs: number): Promise<void> {
    await settle();
    for (;;) {
      const next = this.takeEarliest(atMs);
      if (next === undefined) break;
      this.currentMs = Math.max(this.currentMs, next.atMs);
      next.resolve();
      await settle();
    }
    this.currentMs = Math.max(this.currentMs, atMs);
    await settle();
  }

  /** Deadline of the earliest waiter in milliseconds, if any waits. */
  nextDeadlineMs(): number | undefined {
    if (this.waiters.length === 0) return undefined;
    return Math.min(...this.waiters.map(waiter => waiter.atMs));
  }

  private takeEarliest(limitMs: number): Waiter | undefined {
    let earliest: Waiter | undefined;
    for (const waiter of this.waiters) {
      if (waiter.atMs > limitMs) continue;
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

/** Lets pending promise callbacks run. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise<void>(resolve => {
      setImmediate(resolve);
    });
  }
}
