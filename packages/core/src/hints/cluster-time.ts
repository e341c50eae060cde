/** Age at which a clock offset observed from a peer is discarded. */
const OFFSET_TTL_MS = 5_000; // ten exchanges of hints

interface PeerOffset {
  readonly offsetMs: number;
  readonly observedAtMs: number;
}

/**
 * Time of day agreed on by most daemons. The wall clock of a single daemon may
 * jump; the median of the own clock and the peers' clocks does not, as long as
 * fewer than half of them have jumped.
 */
export class ClusterTime {
  private readonly peerOffsets = new Map<string, PeerOffset>();

  /** `wallMs` reads the wall clock of this daemon, `monotonicMs` a clock that never jumps. */
  constructor(
    private readonly wallMs: () => number,
    private readonly monotonicMs: () => number,
  ) {}

  /** Records a peer's wall clock reading at its arrival. */
  observe(daemonId: string, peerWallMs: number): void {
    const observedAtMs = this.monotonicMs();
    const offsetMs = peerWallMs - observedAtMs;
    this.peerOffsets.set(daemonId, { offsetMs, observedAtMs });
  }

  /** Returns the milliseconds since the Unix epoch. */
  nowMs(): number {
    const monotonicMs = this.monotonicMs();
    const offsetsMs = [this.wallMs() - monotonicMs];
    for (const [daemonId, { observedAtMs, offsetMs }] of this.peerOffsets) {
      if (monotonicMs - observedAtMs > OFFSET_TTL_MS)
        this.peerOffsets.delete(daemonId);
      else offsetsMs.push(offsetMs);
    }
    return monotonicMs + median(offsetsMs);
  }
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length >>> 1;
  const upper = sorted[middle] ?? 0;
  if (sorted.length % 2 === 1) return upper;
  return ((sorted[middle - 1] ?? upper) + upper) / 2;
}
