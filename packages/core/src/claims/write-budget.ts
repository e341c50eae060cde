/** Writes that may follow one another at once after a pause. */
const BURST_WRITES = 4;

/**
 * Spaces writes to a mean rate and lets short bursts through, by the generic
 * cell rate algorithm (ITU-T I.371).
 */
export class WriteBudget {
  private readonly spacingMs: number;
  /** Time by which all writes so far would have been sent at the mean rate. */
  private scheduledUntilMs = 0;

  constructor(writesPerSecond: number) {
    this.spacingMs = 1_000 / writesPerSecond;
  }

  /** Takes the next write; returns the time at which it may start. */
  takeNext(nowMs: number): number {
    const burstMs = (BURST_WRITES - 1) * this.spacingMs;
    const startAtMs = Math.max(nowMs, this.scheduledUntilMs - burstMs);
    this.scheduledUntilMs =
      Math.max(startAtMs, this.scheduledUntilMs) + this.spacingMs;
    return startAtMs;
  }
}
