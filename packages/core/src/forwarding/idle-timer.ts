import type { Clock } from '../ports/index.js';

/** Timer that calls back once if it is not reset before its timeout. */
export class IdleTimer {
  private idleAtMs = Infinity;
  private waitingUntilMs = Infinity;
  private waitAbort = new AbortController();
  private isStopped = false;

  constructor(
    private readonly clock: Clock,
    /** `lateMs` is the time since the timeout. */
    private readonly onIdle: (lateMs: number) => void,
  ) {}

  /** Restarts the timer: `onIdle` is called unless it is reset again within `timeoutMs`. */
  reset(timeoutMs: number): void {
    this.idleAtMs = this.clock.nowMs() + timeoutMs;
    // A wait that ends before the new time rechecks the time and continues.
    if (this.isStopped || this.idleAtMs >= this.waitingUntilMs) return;
    this.waitAbort.abort();
    this.waitAbort = new AbortController();
    void this.waitForIdle(this.waitAbort.signal);
  }

  stop(): void {
    this.isStopped = true;
    this.waitAbort.abort();
  }

  private async waitForIdle(signal: AbortSignal): Promise<void> {
    do {
      this.waitingUntilMs = this.idleAtMs;
      // Only `reset` and `stop` abort the wait.
      await this.clock
        .waitUntil(this.waitingUntilMs, signal)
        .catch(() => undefined);
      if (signal.aborted) return;
    } while (this.clock.nowMs() < this.idleAtMs);
    this.onIdle(this.clock.nowMs() - this.idleAtMs);
  }
}
