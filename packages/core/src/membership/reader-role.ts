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
  private isCurrentlyFirst = true;
  private refreshedAtMs = -Infinity;

  constructor(private readonly deps: ReaderRoleDependencies) {}

  /** Whether this daemon is a reader. */
  isReader(): boolean {
    this.refresh();
    return this.isCurrentReader;
  }

  /** Whether this daemon is among the first readers of all data centres: those that poll, where a watch does not serve. */
  isFirstReader(): boolean {
    this.refresh();
    return this.isCurrentlyFirst;
  }

  private refresh(): void {
    const { livePeers, nowMs, self } = this.deps;
    if (nowMs() - this.refreshedAtMs < REFRESH_INTERVAL_MS) return;
    this.refreshedAtMs = nowMs();
    const ranked = rankDaemons(PURPOSE, [self, ...livePeers()]);
    const firstLocal = ranked.find(
      daemon => daemon.dataCentre === self.dataCentre,
    );
    this.isCurrentlyFirst = ranked
      .slice(0, MIN_READERS)
      .some(daemon => daemon.id === self.id);
    this.isCurrentReader = this.isCurrentlyFirst || firstLocal?.id === self.id;
  }
}
