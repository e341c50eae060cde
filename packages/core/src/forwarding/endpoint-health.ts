/** Time in which an old failure loses half of its weight. */
const HALF_LIFE_MS = 3_000; // a few times the pause between two requests at an endpoint
/** Weight of attempts that were never made, all successful, so that one failure is no verdict. */
const PRIOR_ATTEMPTS = 4;

/** Share of failed attempts at one endpoint, where old ones fade. */
export class EndpointHealth {
  private attempts = 0;
  private failures = 0;
  private fadedAtMs = 0;

  record(hasFailed: boolean, nowMs: number): void {
    this.fade(nowMs);
    this.attempts += 1;
    if (hasFailed) this.failures += 1;
  }

  /** From 0 to 1. */
  failureShare(nowMs: number): number {
    this.fade(nowMs);
    return this.failures / (this.attempts + PRIOR_ATTEMPTS);
  }

  private fade(nowMs: number): void {
    const kept = 0.5 ** (Math.max(0, nowMs - this.fadedAtMs) / HALF_LIFE_MS);
    this.attempts *= kept;
    this.failures *= kept;
    this.fadedAtMs = nowMs;
  }
}
