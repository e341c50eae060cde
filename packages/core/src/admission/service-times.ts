const NEWEST_WEIGHT = 0.1;
const DECAY_MS = 30_000;
const MAX_KINDS = 256;

interface ServiceTime {
  averageMs: number;
  sampledAtMs: number;
}

/**
 * Average time from dispatch to the end by kind. It decays while no request of
 * the kind ends, so that a bad stretch cannot refuse a kind for good.
 */
export class ServiceTimes {
  private readonly times = new Map<string, ServiceTime>();

  record(kind: string, elapsedMs: number, nowMs: number): void {
    const last = this.times.get(kind)?.averageMs ?? elapsedMs;
    const averageMs = last + NEWEST_WEIGHT * (elapsedMs - last);
    this.times.delete(kind);
    this.times.set(kind, { averageMs, sampledAtMs: nowMs });
    for (const oldest of this.times.keys()) {
      if (this.times.size <= MAX_KINDS) return;
      this.times.delete(oldest);
    }
  }

  /** Expected time in milliseconds; 0 where no request of the kind has ended. */
  expectedMs(kind: string, nowMs: number): number {
    const time = this.times.get(kind);
    if (time === undefined) return 0;
    const ageMs = Math.max(0, nowMs - time.sampledAtMs);
    return time.averageMs * Math.exp(-ageMs / DECAY_MS);
  }
}
