import { rankDaemons } from '../membership/index.js';
import type { DaemonIdentity } from '../ports/index.js';

const PURPOSE = 'usage collector';
/** Time for which the choice is not worked out again. */
const REFRESH_INTERVAL_MS = 250; // membership changes within seconds
/** Time for which a collector that failed is not chosen again. */
const AVOIDANCE_MS = 5_000; // longer than membership takes to notice a dead daemon; a collector that is still cut off then delays counts by two intervals once in this time
/** Number of failed collectors from which counts are sent directly. */
const MAX_FAILED = 2; // a daemon that is cut off from its data centre does not try all others in it

export interface CollectorChoiceDependencies {
  /** Returns this daemon. */
  readonly self: () => DaemonIdentity;
  readonly livePeers: () => readonly DaemonIdentity[];
  /** Returns false where a daemon is known not to collect counts. */
  readonly mayCollect: (daemonId: string) => boolean;
}

/**
 * Chooses the daemon that collects the usage counts of this daemon's data
 * centre: the first by rendezvous hashing, without the holder of the duties. It
 * is meant for some 150 daemons in a data centre. Daemons that know different
 * peers may choose differently, since each daemon that is told counts passes
 * them on.
 */
export class CollectorChoice {
  private readonly avoidedUntilMs = new Map<string, number>();
  private chosen: DaemonIdentity | undefined;
  private holderId = '';
  private refreshAtMs = -Infinity;

  constructor(private readonly deps: CollectorChoiceDependencies) {}

  /** Returns the collector; undefined if this daemon sends counts to the holder of the duties. */
  choose(holderId: string, nowMs: number): DaemonIdentity | undefined {
    if (nowMs < this.refreshAtMs && holderId === this.holderId)
      return this.chosen;
    this.refreshAtMs = nowMs + REFRESH_INTERVAL_MS;
    this.holderId = holderId;
    this.chosen =
      this.failedCount(nowMs) >= MAX_FAILED ? undefined : this.first(holderId);
    return this.chosen;
  }

  /** Records that a collector did not answer or cannot reach the holder of the duties. */
  recordFailure(daemonId: string, nowMs: number): void {
    this.avoidedUntilMs.set(daemonId, nowMs + AVOIDANCE_MS);
    this.refreshAtMs = -Infinity;
  }

  /** Forgets all failures, which may have been those of an earlier holder of the duties. */
  forgetFailures(): void {
    this.avoidedUntilMs.clear();
    this.refreshAtMs = -Infinity;
  }

  /** Returns the number of collectors that failed recently. */
  failedCount(nowMs: number): number {
    for (const [daemonId, untilMs] of this.avoidedUntilMs)
      if (nowMs >= untilMs) this.avoidedUntilMs.delete(daemonId);
    return this.avoidedUntilMs.size;
  }

  private first(holderId: string): DaemonIdentity | undefined {
    const { livePeers, mayCollect, self } = this.deps;
    const own = self();
    const candidates = livePeers().filter(
      ({ dataCentre, id }) =>
        dataCentre === own.dataCentre &&
        id !== holderId &&
        !this.avoidedUntilMs.has(id) &&
        mayCollect(id),
    );
    const first = rankDaemons(PURPOSE, [own, ...candidates])[0];
    return first?.id === own.id ? undefined : first;
  }
}
