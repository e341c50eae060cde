/** Number of the latest sends that the rate is taken from. */
const MAX_SENDS = 16; // a few seconds at one daemon
/** Number of the latest sends that are kept, so that those that are put back displace none that count. */
const MAX_KEPT_SENDS = 128; // above the places of one daemon
/** Number of sends below which no rate is known. */
const MIN_SENDS = 4;

/** Rate at which requests leave a queue while others wait in it. */
export class DrainRate {
  private sentAtMs: readonly number[] = [];

  recordSend(nowMs: number): void {
    this.sentAtMs = [...this.sentAtMs, nowMs].slice(-MAX_KEPT_SENDS);
  }

  /** Drops the latest send, of a request that was put back. */
  removeSend(): void {
    this.sentAtMs = this.sentAtMs.slice(0, -1);
  }

  /** Forgets the rate: without waiting requests, sends show the demand instead. */
  clear(): void {
    this.sentAtMs = [];
  }

  /** Returns the sends per millisecond; undefined if not known. A stall lowers it. */
  perMs(nowMs: number): number | undefined {
    const latestAtMs = this.sentAtMs.slice(-MAX_SENDS);
    const [firstAtMs] = latestAtMs;
    if (firstAtMs === undefined || latestAtMs.length < MIN_SENDS)
      return undefined;
    return (latestAtMs.length - 1) / Math.max(1, nowMs - firstAtMs);
  }
}
