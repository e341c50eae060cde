/** Weight of the newest sample in the moving average. */
const EWMA_WEIGHT = 0.1;
/** Time constant of the exponential decay of an average without new samples. */
const DECAY_MS = 30_000;
const MAX_TRACKED_KINDS = 256;

interface ServiceTime {
  averageMs: number;
  sampledAtMs: number;
}

/**
 * Moving averages of the time from dispatch to end, by kind. An average decays
 * while no request of its kind ends, so that a period of slow requests cannot
 * cause the kind to be refused forever.
 */
export class ServiceTimes {
  private readonly timeByKind = new Map<string, ServiceTime>();

  record(kind: string, elapsedMs: number, nowMs: number): void {
    const last = this.timeByKind.get(kind)?.averageMs ?? elapsedMs;
    const averageMs = last + EWMA_WEIGHT * (elapsedMs - last);
    this.timeByKind.delete(kind);
    this.timeByKind.set(kind, { averageMs, sampledAtMs: nowMs });
    for (const oldest of this.timeByKind.keys()) {
      if (this.timeByKind.size <= MAX_TRACKED_KINDS) return;
      this.timeByKind.delete(oldest);
    }
  }

  /** Returns the expected time in milliseconds; 0 if no request of the kind has ended. */
  expectedMs(kind: string, nowMs: number): number {
    const time = this.timeByKind.get(kind);
    if (time === undefined) return 0;
    const ageMs = Math.max(0, nowMs - time.sampledAtMs);
    return time.averageMs * Math.exp(-ageMs / DECAY_MS);
  }
}
