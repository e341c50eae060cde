import type { DaemonIdentity } from '../ports/index.js';
import { rankDaemons } from './rendezvous.js';

/** Time for which the role is not worked out again. */
const REFRESH_INTERVAL_MS = 250; // membership changes within seconds
/** Number of readers of all data centres together, at least. */
const MIN_READERS = 2; // one may be cut off
const PURPOSE = 'store reader';

export interface ReaderRoleDependencies {
  readonly self: DaemonIdentity;
  readonly nowMs: () => number;
  /** Returns the other daemons that are considered alive. */
  readonly livePeers: () => readonly DaemonIdentity[];
}

/**
 * Tells whether this daemon reads the store for others, which then only read it
 * where they hear of no recent read: the first of each data centre by rendezvous
 * hashing, and the first ones of all. Daemons that know different peers may
 * disagree; there are then more or fewer readers for a while.
 */
export class ReaderRole {
  private isCurrentReader = true;
  private refreshedAtMs = -Infinity;

  constructor(private readonly deps: ReaderRoleDependencies) {}

  isReader(): boolean {
    const nowMs = this.deps.nowMs();
    if (nowMs - this.refreshedAtMs >= REFRESH_INTERVAL_MS) {
      this.refreshedAtMs = nowMs;
      this.isCurrentReader = this.isAmongFirst();
    }
    return this.isCurrentReader;
  }

  private isAmongFirst(): boolean {
    const { livePeers, self } = this.deps;
    const ranked = rankDaemons(PURPOSE, [self, ...livePeers()]);
    const firstLocal = ranked.find(
      daemon => daemon.dataCentre === self.dataCentre,
    );
    return (
      firstLocal?.id === self.id ||
      ranked.slice(0, MIN_READERS).some(daemon => daemon.id === self.id)
    );
  }
}
