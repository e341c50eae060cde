/** Half-life of the weight of an attempt. */
const HALF_LIFE_MS = 3_000; // a few times the interval between two requests at an endpoint
/** Number of successful attempts assumed in advance, so that a single failure does not exclude an endpoint. */
const PRIOR_ATTEMPTS = 4;

/** Failure rate of one endpoint, with exponential decay of old attempts. */
export class EndpointHealth {
  private attempts = 0;
  private failures = 0;
  private decayedAtMs = 0;

  record(hasFailed: boolean, nowMs: number): void {
    this.decay(nowMs);
    this.attempts += 1;
    if (hasFailed) this.failures += 1;
  }

  /** Returns the share of failed attempts, from 0 to 1. */
  failureShare(nowMs: number): number {
    if (this.failures === 0) return 0;
    this.decay(nowMs);
    return this.failures / (this.attempts + PRIOR_ATTEMPTS);
  }

  private decay(nowMs: number): void {
    const decayFactor =
      0.5 ** (Math.max(0, nowMs - this.decayedAtMs) / HALF_LIFE_MS);
    this.attempts *= decayFactor;
    this.failures *= decayFactor;
    this.decayedAtMs = nowMs;
  }
}
