import type { Clock } from '../ports/index.js';
import { cancel } from '../ports/index.js';

export interface IdleTimerDependencies {
  readonly clock: Clock;
  /** Resolves after all connections have been polled once more. */
  readonly nextPoll: () => Promise<void>;
}

/** Interval at which a consumer that wants to wait on is asked again. */
const RECHECK_INTERVAL_MS = 100;

/** Timer that reports each timeout without a reset, until its consumer takes it as the end. */
export class IdleTimer {
  private idleAtMs = Infinity;
  private waitingUntilMs = Infinity;
  private waitAbort = new AbortController();
  private isStopped = false;

  /** `onIdle` is called with the time since the timeout; it returns whether the timer ends, and is called again soon if not. */
  constructor(
    private readonly deps: IdleTimerDependencies,
    private readonly onIdle: (lateMs: number) => boolean,
  ) {}

  /** Restarts the timer: `onIdle` is called unless it is reset again within `timeoutMs`. */
  reset(timeoutMs: number): void {
    this.idleAtMs = this.deps.clock.nowMs() + timeoutMs;
    // A wait that ends before the new time rechecks the time and continues.
    if (this.isStopped || this.idleAtMs >= this.waitingUntilMs) return;
    cancel(this.waitAbort);
    this.waitAbort = new AbortController();
    void this.waitForIdle(this.waitAbort.signal);
  }

  stop(): void {
    this.isStopped = true;
    cancel(this.waitAbort);
  }

  private async waitForIdle(signal: AbortSignal): Promise<void> {
    const { clock, nextPoll } = this.deps;
    let hasEnded = false;
    while (!hasEnded) {
      this.waitingUntilMs = this.idleAtMs;
      // Only `reset` and `stop` abort the wait.
      await clock.waitUntil(this.waitingUntilMs, signal).catch(() => undefined);
      if (signal.aborted) return;
      const lateMs = clock.nowMs() - this.idleAtMs;
      if (lateMs < 0) continue;
      // Timers run before the bytes are read that arrived while the process was held up.
      await nextPoll();
      if (this.isStopped) return;
      if (clock.nowMs() < this.idleAtMs) continue;
      hasEnded = this.onIdle(lateMs);
      this.idleAtMs = clock.nowMs() + RECHECK_INTERVAL_MS;
    }
  }
}
