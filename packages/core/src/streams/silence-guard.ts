import type { Clock } from '../ports/index.js';

const PAUSED_RECHECK_MS = 1_000;

/**
 * Aborts a connection that has made no progress by its deadline. One wait
 * covers many events: a wait that ends early is set again for the new deadline.
 */
export class SilenceGuard {
  private readonly connection = new AbortController();
  private readonly end = new AbortController();
  private silent = false;
  private paused = false;
  private waitingUntilMs = 0;
  private wait = new AbortController();

  constructor(
    private readonly clock: Clock,
    private deadlineAtMs: number,
  ) {
    void this.watch();
  }

  /** Aborted once the connection is silent. */
  get signal(): AbortSignal {
    return this.connection.signal;
  }

  /** Whether the deadline passed without progress. */
  get isSilent(): boolean {
    return this.silent;
  }

  /** Suspends the deadline while the caller, not the connection, is waited for. */
  pause(): void {
    this.paused = true;
  }

  /** Records progress: the connection has until `deadlineAtMs` for more. */
  extend(deadlineAtMs: number): void {
    this.paused = false;
    this.deadlineAtMs = deadlineAtMs;
    if (deadlineAtMs < this.waitingUntilMs) this.wait.abort();
  }

  /** Ends the wait. */
  stop(): void {
    this.end.abort();
  }

  private async watch(): Promise<void> {
    while (!this.end.signal.aborted) {
      if (this.paused) {
        this.deadlineAtMs = this.clock.nowMs() + PAUSED_RECHECK_MS;
      } else if (this.clock.nowMs() >= this.deadlineAtMs) {
        this.silent = true;
        this.connection.abort();
        return;
      }
      await this.waitForDeadline();
    }
  }

  /** Waits until the deadline, an earlier one or the end. */
  private async waitForDeadline(): Promise<void> {
    this.wait = new AbortController();
    this.waitingUntilMs = this.deadlineAtMs;
    const signal = AbortSignal.any([this.wait.signal, this.end.signal]);
    await this.clock
      .waitUntil(this.deadlineAtMs, signal)
      .catch(() => undefined);
  }
}
