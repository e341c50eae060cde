import type { UsageCounter } from '../forwarding/index.js';
import type { DaemonHints, WindowUsage } from '../hints/index.js';
import type { Workspace } from '../ports/index.js';
import type { UsageReport } from './duty-api.js';

/** Number of windows before the current one that are retained. */
const RETAINED_WINDOWS = 6; // a report is due two windows after the window it covers

/** Counts of one lifetime of a daemon in one window. */
export interface LifetimeUsage extends WindowUsage {
  readonly lifetime: string;
}

type WorkspaceCounts = Map<Workspace, number>;

/** Counts of the requests that endpoints started, by window and by the daemon that sent them. */
export class UsageLedger implements UsageCounter {
  /** Counts of this daemon, by window. */
  private readonly ownCounts = new Map<number, WorkspaceCounts>();
  /** Counts of peers, by window and by lifetime. */
  private readonly peerCounts = new Map<number, Map<string, WorkspaceCounts>>();
  /** Rises with each change of this daemon's counts. */
  ownChangeCount = 0;
  /** Rises with each change of any counts. */
  changeCount = 0;

  /**
   * `clusterTimeMs` reads the time that determines the window of a request.
   * `lifetime` names this run of the daemon's process, as in its hints.
   */
  constructor(
    private readonly windowMs: number,
    private readonly clusterTimeMs: () => number,
    readonly lifetime = '',
  ) {}

  count(workspace: Workspace, startedAgoMs: number): void {
    const windowId = this.windowIdAt(this.clusterTimeMs() - startedAgoMs);
    const counts = this.ownCounts.get(windowId) ?? new Map<Workspace, number>();
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    this.ownCounts.set(windowId, counts);
    this.ownChangeCount += 1;
    this.changeCount += 1;
    this.deleteExpiredWindows();
  }

  /** Returns this daemon's counts of all retained windows, for its hints to peers. */
  ownUsage(): WindowUsage[] {
    this.deleteExpiredWindows();
    return [...this.ownCounts].map(([windowId, counts]) => ({
      windowId,
      counts: Object.fromEntries(counts),
    }));
  }

  /** Returns the counts of this daemon and all peers in the retained windows from the first one on. */
  allUsage(firstWindowId: number): LifetimeUsage[] {
    const { lifetime } = this;
    const own = this.ownUsage().map(usage => ({ ...usage, lifetime }));
    const peers = [...this.peerCounts].flatMap(([windowId, byLifetime]) =>
      [...byLifetime].map(([peer, counts]) => ({
        windowId,
        lifetime: peer,
        counts: Object.fromEntries(counts),
      })),
    );
    return [...own, ...peers].filter(each => each.windowId >= firstWindowId);
  }

  /**
   * Merges a peer's counts, as it told them or as they were stored. The counts of
   * one lifetime only increase, so the higher value is the later one. This daemon's
   * own counts are ignored.
   */
  applyPeer({
    lifetime,
    usage,
  }: Pick<DaemonHints, 'lifetime' | 'usage'>): void {
    if (lifetime === this.lifetime) return;
    for (const { counts, windowId } of usage) {
      const byLifetime =
        this.peerCounts.get(windowId) ?? new Map<string, WorkspaceCounts>();
      const known = byLifetime.get(lifetime) ?? new Map<Workspace, number>();
      for (const [workspace, value] of Object.entries(counts)) {
        if (value <= (known.get(workspace) ?? 0)) continue;
        known.set(workspace, value);
        this.changeCount += 1;
      }
      byLifetime.set(lifetime, known);
      this.peerCounts.set(windowId, byLifetime);
    }
    this.deleteExpiredWindows();
  }

  /** Returns the ids of the windows that ended at least `settleMs` ago and have counts, oldest first. */
  endedWindows(settleMs: number): readonly number[] {
    const openWindowId = this.windowIdAt(this.clusterTimeMs() - settleMs);
    return [...new Set([...this.ownCounts.keys(), ...this.peerCounts.keys()])]
      .filter(windowId => windowId < openWindowId)
      .sort((left, right) => left - right);
  }

  /** Returns the id of the window that has not ended yet. */
  openWindowId(): number {
    return this.windowIdAt(this.clusterTimeMs());
  }

  /** Returns the time since the end of a window, in milliseconds. */
  endedAgoMs(windowId: number): number {
    return this.clusterTimeMs() - (windowId + 1) * this.windowMs;
  }

  /** Returns the summed counts of this daemon and all peers. */
  totalReport(windowId: number): UsageReport {
    const peers = this.peerCounts.get(windowId)?.values() ?? [];
    const own = this.ownCounts.get(windowId);
    const sums = new Map<Workspace, number>();
    for (const counts of [...peers, ...(own === undefined ? [] : [own])]) {
      for (const [workspace, value] of counts) {
        sums.set(workspace, (sums.get(workspace) ?? 0) + value);
      }
    }
    return { windowId, counts: Object.fromEntries(sums) };
  }

  private windowIdAt(atMs: number): number {
    return Math.floor(atMs / this.windowMs);
  }

  private deleteExpiredWindows(): void {
    // The time of the cluster costs the median of all clocks.
    if (this.ownCounts.size + this.peerCounts.size === 0) return;
    const oldestId = this.windowIdAt(this.clusterTimeMs()) - RETAINED_WINDOWS;
    for (const windows of [this.ownCounts, this.peerCounts]) {
      for (const windowId of windows.keys()) {
        if (windowId < oldestId) windows.delete(windowId);
      }
    }
  }
}
