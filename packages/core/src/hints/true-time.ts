/** Time after which what a peer said of the time no longer counts. */
const FRESH_MS = 5_000; // ten exchanges of hints

interface Offset {
  readonly offsetMs: number;
  readonly observedAtMs: number;
}

/**
 * Time of day as most daemons see it. Single clocks jump; the median of the
 * own one and the peers' does not while fewer than half have jumped.
 */
export class TrueTime {
  private readonly byDaemon = new Map<string, Offset>();

  /** `wallMs` reads the own time of day, `steadyMs` a clock that never jumps. */
  constructor(
    private readonly wallMs: () => number,
    private readonly steadyMs: () => number,
  ) {}

  /** Takes a peer's time of day as it arrives. */
  observe(daemonId: string, peerWallMs: number): void {
    const observedAtMs = this.steadyMs();
    const offsetMs = peerWallMs - observedAtMs;
    this.byDaemon.set(daemonId, { offsetMs, observedAtMs });
  }

  /** Milliseconds since the Unix epoch. */
  nowMs(): number {
    const steadyMs = this.steadyMs();
    const offsetsMs = [this.wallMs() - steadyMs];
    for (const [daemonId, { observedAtMs, offsetMs }] of this.byDaemon) {
      if (steadyMs - observedAtMs > FRESH_MS) this.byDaemon.delete(daemonId);
      else offsetsMs.push(offsetMs);
    }
    return steadyMs + median(offsetsMs);
  }
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length >>> 1;
  const upper = sorted[middle] ?? 0;
  if (sorted.length % 2 === 1) return upper;
  return ((sorted[middle - 1] ?? upper) + upper) / 2;
}
