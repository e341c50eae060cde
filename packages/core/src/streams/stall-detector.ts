import type { Clock } from '../ports/index.js';

const PAUSED_RECHECK_MS = 1_000;

/**
 * Aborts a connection that makes no progress until its deadline. To avoid a
 * timer per event, one wait covers many events: when it ends before the deadline
 * in force, the next wait runs until that deadline.
 */
export class StallDetector {
  private readonly connectionAbort = new AbortController();
  private readonly watchAbort = new AbortController();
  private stalled = false;
  private isPaused = false;
  private waitingUntilMs = 0;
  private waitAbort = new AbortController();

  constructor(
    private readonly clock: Clock,
    private deadlineAtMs: number,
  ) {
    void this.watch();
  }

  /** Aborted once the connection has stalled. */
  get signal(): AbortSignal {
    return this.connectionAbort.signal;
  }

  /** Whether the deadline passed without progress. */
  get isStalled(): boolean {
    return this.stalled;
  }

  /** Suspends the deadline while the caller is slow to read, as opposed to the connection. */
  pause(): void {
    this.isPaused = true;
  }

  /** Records progress and sets the deadline for further progress; resumes after `pause`. */
  extendDeadline(deadlineAtMs: number): void {
    this.isPaused = false;
    this.deadlineAtMs = deadlineAtMs;
    if (deadlineAtMs < this.waitingUntilMs) this.waitAbort.abort();
  }

  /** Stops watching the connection. */
  stop(): void {
    this.watchAbort.abort();
  }

  private async watch(): Promise<void> {
    while (!this.watchAbort.signal.aborted) {
      if (this.isPaused) {
        this.deadlineAtMs = this.clock.nowMs() + PAUSED_RECHECK_MS;
      } else if (this.clock.nowMs() >= this.deadlineAtMs) {
        this.stalled = true;
        this.connectionAbort.abort();
        return;
      }
      await this.waitForDeadline();
    }
  }

  /** Waits until the deadline, or until it is brought forward or the detector is stopped. */
  private async waitForDeadline(): Promise<void> {
    this.waitAbort = new AbortController();
    this.waitingUntilMs = this.deadlineAtMs;
    const signal = AbortSignal.any([
      this.waitAbort.signal,
      this.watchAbort.signal,
    ]);
    await this.clock
      .waitUntil(this.deadlineAtMs, signal)
      .catch(() => undefined);
  }
}
