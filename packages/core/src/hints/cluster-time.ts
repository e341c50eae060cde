/** Age at which a clock offset observed from a peer is discarded. */
const OFFSET_TTL_MS = 5_000; // ten exchanges of hints

interface PeerOffset {
  readonly offsetMs: number;
  readonly observedAtMs: number;
}

/**
 * Time of day agreed on by most daemons. The wall clock of a single daemon may
 * jump; the median of the own clock and the peers' clocks does not, as long as
 * fewer than half of them have jumped. The time is read for each request and
 * message, so that the peers' offsets are kept sorted.
 */
export class ClusterTime {
  private readonly peerOffsets = new Map<string, PeerOffset>();
  /** Offsets of all peers in milliseconds, ascending. */
  private readonly sortedMs: number[] = [];
  /** Time until which no offset has to be discarded. */
  private checkExpiryAtMs = Infinity;

  /** `wallMs` reads the wall clock of this daemon, `monotonicMs` a clock that never jumps. */
  constructor(
    private readonly wallMs: () => number,
    private readonly monotonicMs: () => number,
  ) {}

  /** Records a peer's wall clock reading at its arrival. */
  observe(daemonId: string, peerWallMs: number): void {
    const observedAtMs = this.monotonicMs();
    const offsetMs = peerWallMs - observedAtMs;
    this.discard(daemonId);
    this.peerOffsets.set(daemonId, { offsetMs, observedAtMs });
    this.sortedMs.splice(lowerBound(this.sortedMs, offsetMs), 0, offsetMs);
    const expiresAtMs = observedAtMs + OFFSET_TTL_MS;
    this.checkExpiryAtMs = Math.min(this.checkExpiryAtMs, expiresAtMs);
  }

  /** Returns the milliseconds since the Unix epoch. */
  nowMs(): number {
    const monotonicMs = this.monotonicMs();
    if (monotonicMs > this.checkExpiryAtMs) this.discardExpired(monotonicMs);
    return monotonicMs + medianWith(this.sortedMs, this.wallMs() - monotonicMs);
  }

  private discardExpired(monotonicMs: number): void {
    this.checkExpiryAtMs = Infinity;
    for (const [daemonId, { observedAtMs }] of this.peerOffsets) {
      const expiresAtMs = observedAtMs + OFFSET_TTL_MS;
      if (monotonicMs > expiresAtMs) this.discard(daemonId);
      else this.checkExpiryAtMs = Math.min(this.checkExpiryAtMs, expiresAtMs);
    }
  }

  private discard(daemonId: string): void {
    const known = this.peerOffsets.get(daemonId);
    if (known === undefined) return;
    this.peerOffsets.delete(daemonId);
    this.sortedMs.splice(lowerBound(this.sortedMs, known.offsetMs), 1);
  }
}

/** Returns the index of the first value that is at least `limit`, found by bisection. */
function lowerBound(sorted: readonly number[], limit: number): number {
  let start = 0;
  let end = sorted.length;
  while (start < end) {
    const middle = (start + end) >>> 1;
    if ((sorted[middle] ?? Infinity) < limit) start = middle + 1;
    else end = middle;
  }
  return start;
}

/** Returns the median of ascending values and one more. */
function medianWith(sorted: readonly number[], value: number): number {
  const middle = sorted.length >>> 1;
  if (sorted.length % 2 === 0)
    return clamp(value, sorted[middle - 1], sorted[middle]);
  const median = sorted[middle] ?? value;
  return (median + clamp(value, sorted[middle - 1], sorted[middle + 1])) / 2;
}

function clamp(value: number, lowest = -Infinity, highest = Infinity): number {
  return Math.min(Math.max(value, lowest), highest);
}
