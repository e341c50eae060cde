/** Maximum number of writes that may be sent at once after an idle period. */
const MAX_BURST_WRITES = 4;

/**
 * Rate limiter for writes that allows short bursts, by the generic cell rate
 * algorithm (ITU-T I.371).
 */
export class WriteRateLimiter {
  private readonly spacingMs: number;
  /** Time by which all writes so far would have been sent at the mean rate (theoretical arrival time). */
  private scheduledUntilMs = 0;

  constructor(writesPerSecond: number) {
    this.spacingMs = 1_000 / writesPerSecond;
  }

  /** Reserves the next write; returns the time in milliseconds at which it may start. */
  reserveWrite(nowMs: number): number {
    const burstMs = (MAX_BURST_WRITES - 1) * this.spacingMs;
    const startAtMs = Math.max(nowMs, this.scheduledUntilMs - burstMs);
    this.scheduledUntilMs =
      Math.max(startAtMs, this.scheduledUntilMs) + this.spacingMs;
    return startAtMs;
  }
}
