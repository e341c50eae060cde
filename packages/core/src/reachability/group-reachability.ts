/** Time without a byte from a group's endpoints, while a request waits, after which they are doubted. */
const SILENCE_MS = 400; // most responses begin sooner
/** Number of responses lost in a row, with nothing received in between, that are taken for faults of endpoints. */
const MAX_LOST_IN_A_ROW = 1;
/** Minimum time between two rounds of probes of a group. */
const PROBE_INTERVAL_MS = 500;

/** Evidence on whether this daemon reaches the endpoints of one group. */
export class GroupReachability {
  /** Time at which the endpoints were last heard; -Infinity if never. */
  heardAtMs = -Infinity;
  /** Time since which no endpoint accepts connections; undefined if some do. */
  unreachableSinceMs: number | undefined;
  /** Time of the first request that was sent since the endpoints were last heard. */
  private waitingSinceMs: number | undefined;
  private lostInARow = 0;
  private hasConnectFailed = false;
  private nextProbeAtMs = -Infinity;

  recordSent(nowMs: number): void {
    this.waitingSinceMs ??= nowMs;
  }

  recordHeard(nowMs: number): void {
    this.heardAtMs = nowMs;
    this.waitingSinceMs = undefined;
    this.lostInARow = 0;
  }

  recordConnectFailure(): void {
    this.hasConnectFailed = true;
  }

  recordLostResponse(): void {
    this.lostInARow += 1;
  }

  /** Returns whether the endpoints are to be probed now. `isAnyUnreachable` tells whether another group's endpoints are unreachable. */
  isProbeDue(nowMs: number, isAnyUnreachable: boolean): boolean {
    if (nowMs < this.nextProbeAtMs) return false;
    const isUnheard = nowMs - this.heardAtMs >= PROBE_INTERVAL_MS;
    return (
      this.unreachableSinceMs !== undefined ||
      this.hasConnectFailed ||
      this.lostInARow > MAX_LOST_IN_A_ROW ||
      this.isSilent(nowMs) ||
      (isAnyUnreachable && isUnheard)
    );
  }

  /** Returns whether requests have waited for so long without a byte that the endpoints are doubted. */
  isSilent(nowMs: number): boolean {
    const waitingSinceMs = this.waitingSinceMs ?? nowMs;
    return nowMs - waitingSinceMs >= SILENCE_MS;
  }

  /** Records the result of a round of probes, and returns whether it changes what is known. */
  recordProbe(isReachable: boolean, nowMs: number): boolean {
    const wasReachable = this.unreachableSinceMs === undefined;
    this.nextProbeAtMs = nowMs + PROBE_INTERVAL_MS;
    this.hasConnectFailed = false;
    this.lostInARow = 0;
    if (isReachable) {
      this.recordHeard(nowMs);
      this.unreachableSinceMs = undefined;
    } else {
      this.unreachableSinceMs ??= nowMs;
    }
    return wasReachable !== isReachable;
  }
}
