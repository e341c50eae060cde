/** Read of the store that a daemon has reported or passed on. */
interface PeerRead {
  /** Version of what was read. */
  readonly version: number;
  /** Earliest time at which the read may have begun. */
  readonly atMs: number;
}

/** Latest successful reads of one kind of state, by the lifetime of the daemon that told of them. */
export class PeerReads {
  private readonly byLifetime = new Map<string, PeerRead>();
  /** Last result; it is asked for each endpoint and request, between few changes. */
  private latest: PeerRead | undefined;

  /** Records a read; one that began before the read known from the same lifetime is ignored. */
  record(lifetime: string, version: number, atMs: number): void {
    const known = this.byLifetime.get(lifetime);
    if (known !== undefined && known.atMs >= atMs) return;
    this.byLifetime.set(lifetime, { version, atMs });
    this.latest = undefined;
  }

  /**
   * Returns the latest time at which a read began, among those of states that are
   * no newer than `version`; -Infinity where there is none.
   */
  latestAtMs(version: number): number {
    if (this.latest?.version === version) return this.latest.atMs;
    let atMs = -Infinity;
    for (const read of this.byLifetime.values()) {
      if (read.version <= version) atMs = Math.max(atMs, read.atMs);
    }
    this.latest = { version, atMs };
    return atMs;
  }

  delete(lifetime: string): void {
    this.byLifetime.delete(lifetime);
    this.latest = undefined;
  }
}
