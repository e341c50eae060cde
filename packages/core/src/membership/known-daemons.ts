import type { DaemonIdentity } from '../ports/index.js';
import { MIN_DAEMONS_FOR_CELLS } from './cell-layout.js';

/** Time for which the ids are not worked out again. */
const REFRESH_INTERVAL_MS = 250; // membership changes within seconds
/** Time for which a daemon that is not heard of still counts: it may be cut off from its peers but not from endpoints. */
const RETENTION_MS = 600_000; // longer than most network failures
/** Time for which listed daemons count, until it is known which of them are alive. */
const LISTED_RETENTION_MS = 30_000; // several rounds of the membership protocol

export interface KnownDaemonsDependencies {
  readonly ownId: string;
  readonly nowMs: () => number;
  /** Returns the other daemons that are considered alive. */
  readonly livePeers: () => readonly DaemonIdentity[];
}

/**
 * Daemons among which a limit on all of them is divided. One that is not heard of
 * goes on counting. A daemon that knows no other one and has not read the list of
 * daemons knows nothing of the division, and has no share. From `MIN_DAEMONS_FOR_CELLS`
 * daemons on, a daemon hears of a part of them only, so that the listed ones count too.
 */
export class KnownDaemons {
  private readonly lastLiveAtMs = new Map<string, number>();
  private listedIds: readonly string[] = [];
  private firstListedAtMs: number | undefined;
  private currentIds: readonly string[] = [];
  private refreshedAtMs = -Infinity;

  constructor(private readonly deps: KnownDaemonsDependencies) {}

  /** Records the ids of a list of daemons that may contain stopped ones. */
  recordListed(ids: readonly string[]): void {
    this.firstListedAtMs ??= this.deps.nowMs();
    this.listedIds = ids;
  }

  /**
   * Returns the ids of the daemons that count, this one included; empty while
   * they are not known. Returns the same array until they change.
   */
  ids(): readonly string[] {
    const nowMs = this.deps.nowMs();
    if (nowMs - this.refreshedAtMs >= REFRESH_INTERVAL_MS) {
      this.refreshedAtMs = nowMs;
      this.refresh(nowMs);
    }
    return this.currentIds;
  }

  /** Returns the position of this daemon among the daemons that count, by id. */
  rank(): number {
    const { ownId } = this.deps;
    return this.ids().filter(id => id < ownId).length;
  }

  private refresh(nowMs: number): void {
    for (const { id } of this.deps.livePeers()) {
      this.lastLiveAtMs.set(id, nowMs);
    }
    for (const [id, atMs] of this.lastLiveAtMs) {
      if (nowMs - atMs >= RETENTION_MS) this.lastLiveAtMs.delete(id);
    }
    const hasPeers = this.lastLiveAtMs.size > 0;
    if (!hasPeers && this.firstListedAtMs === undefined) return;
    const listedForMs = nowMs - (this.firstListedAtMs ?? -Infinity);
    const isListUsed =
      !hasPeers ||
      listedForMs < LISTED_RETENTION_MS ||
      this.listedIds.length >= MIN_DAEMONS_FOR_CELLS;
    const counted = new Set([
      this.deps.ownId,
      ...this.lastLiveAtMs.keys(),
      ...(isListUsed ? this.listedIds : []),
    ]);
    const isSame =
      counted.size === this.currentIds.length &&
      this.currentIds.every(id => counted.has(id));
    if (!isSame) this.currentIds = [...counted];
  }
}
