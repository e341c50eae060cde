/** Number of the latest sends that the rate is taken from. */
const MAX_SENDS = 16; // a few seconds at one daemon
/** Number of sends below which no rate is known. */
const MIN_SENDS = 4;

/** Rate at which requests leave a queue while others wait in it. */
export class DrainRate {
  private sentAtMs: readonly number[] = [];

  recordSend(nowMs: number): void {
    this.sentAtMs = [...this.sentAtMs, nowMs].slice(-MAX_SENDS);
  }

  /** Forgets the rate: without waiting requests, sends show the demand instead. */
  clear(): void {
    this.sentAtMs = [];
  }

  /** Returns the sends per millisecond; undefined if not known. A stall lowers it. */
  perMs(nowMs: number): number | undefined {
    const [firstAtMs] = this.sentAtMs;
    if (firstAtMs === undefined || this.sentAtMs.length < MIN_SENDS)
      return undefined;
    return (this.sentAtMs.length - 1) / Math.max(1, nowMs - firstAtMs);
  }
}
