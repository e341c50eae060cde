import type { Clock } from '../ports/index.js';

/** Calls back once nothing has been heard for a while. */
export class SilenceWatch {
  private silentAtMs = Infinity;
  private waitsUntilMs = Infinity;
  private wait = new AbortController();
  private isStopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly onSilence: () => void,
  ) {}

  /** Something was heard; the next must come within `limitMs`. */
  heard(limitMs: number): void {
    this.silentAtMs = this.clock.nowMs() + limitMs;
    // A wait that ends earlier finds the new time by itself.
    if (this.isStopped || this.silentAtMs >= this.waitsUntilMs) return;
    this.wait.abort();
    this.wait = new AbortController();
    void this.follow(this.wait.signal);
  }

  stop(): void {
    this.isStopped = true;
    this.wait.abort();
  }

  private async follow(signal: AbortSignal): Promise<void> {
    do {
      this.waitsUntilMs = this.silentAtMs;
      // The wait is cut short by `heard` and `stop` alone.
      await this.clock
        .waitUntil(this.waitsUntilMs, signal)
        .catch(() => undefined);
      if (signal.aborted) return;
    } while (this.clock.nowMs() < this.silentAtMs);
    this.onSilence();
  }
}
