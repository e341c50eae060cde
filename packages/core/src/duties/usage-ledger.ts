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

/** Count of one workspace, and the number of the ledger's change that set it. */
interface Count {
  readonly value: number;
  readonly change: number;
}

type WorkspaceCounts = Map<Workspace, Count>;

/** Counts of the requests that endpoints started, by window and by the daemon that sent them. */
export class UsageLedger implements UsageCounter {
  /** Counts of this daemon and of peers, by window and by lifetime. */
  private readonly countsByWindow = new Map<
    number,
    Map<string, WorkspaceCounts>
  >();
  /** Rises with each change of this daemon's counts. */
  ownChangeCount = 0;
  /** Rises with each change of any counts. */
  changeCount = 0;
  private reportedBefore = -Infinity;
  private oldestRetainedId = -Infinity;

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
    const nowMs = this.clusterTimeMs();
    const windowId = this.windowIdAt(nowMs - startedAgoMs);
    const known = this.countsIn(windowId, this.lifetime)?.get(workspace);
    this.ownChangeCount += 1;
    this.set(windowId, this.lifetime, workspace, (known?.value ?? 0) + 1);
    this.deleteExpiredWindows(nowMs);
  }

  /** First window that the platform may still lack a report of; undefined until that is known. */
  get firstUnreportedId(): number | undefined {
    const isKnown = Number.isFinite(this.reportedBefore);
    return isKnown ? this.reportedBefore : undefined;
  }

  /** Records that the platform has the reports of all windows before this one, or never gets them. Windows that have not ended are left open. */
  closeBefore(windowId: number): void {
    if (windowId <= this.reportedBefore || windowId > this.openWindowId())
      return;
    this.reportedBefore = windowId;
  }

  /** Returns this daemon's counts of the windows that wait for their report, for its peers. */
  ownUsage(): WindowUsage[] {
    this.deleteExpiredWindows(this.clusterTimeMs());
    return this.changedUsage(this.lifetime, 0);
  }

  /** Returns the counts of a lifetime, in windows that wait for their report, that changed after the change of the ledger with number `sinceChange`. */
  changedUsage(lifetime: string, sinceChange: number): WindowUsage[] {
    return [...this.countsByWindow.keys()]
      .filter(windowId => windowId >= this.reportedBefore)
      .flatMap(windowId => {
        const known = this.countsIn(windowId, lifetime) ?? [];
        const changed = [...known].filter(
          ([, { change }]) => change > sinceChange,
        );
        return changed.length === 0
          ? []
          : [{ windowId, counts: valuesOf(changed) }];
      });
  }

  /** Returns the counts of this daemon and all peers in the retained windows from the first one on. */
  allUsage(firstWindowId: number): LifetimeUsage[] {
    this.deleteExpiredWindows(this.clusterTimeMs());
    return [...this.countsByWindow]
      .filter(([windowId]) => windowId >= firstWindowId)
      .flatMap(([windowId, byLifetime]) =>
        [...byLifetime].map(([lifetime, counts]) => {
          return { windowId, lifetime, counts: valuesOf(counts) };
        }),
      );
  }

  /**
   * Merges a peer's counts, as it told them or as they were stored. The counts of
   * one lifetime only increase, so the higher value is the later one. This daemon's
   * own counts are ignored, and those of windows whose report the platform has.
   */
  applyPeer({
    lifetime,
    usage,
  }: Pick<DaemonHints, 'lifetime' | 'usage'>): void {
    if (lifetime === this.lifetime) return;
    const { changeCount } = this;
    const firstId = Math.max(this.reportedBefore, this.oldestRetainedId);
    for (const { counts, windowId } of usage) {
      if (windowId < firstId) continue;
      const known = this.countsIn(windowId, lifetime);
      for (const [workspace, value] of Object.entries(counts)) {
        if (value > (known?.get(workspace)?.value ?? 0))
          this.set(windowId, lifetime, workspace, value);
      }
    }
    if (this.changeCount > changeCount)
      this.deleteExpiredWindows(this.clusterTimeMs());
  }

  /** Returns the ids of the windows that ended at least `settleMs` ago and have counts, oldest first. */
  endedWindows(settleMs: number): readonly number[] {
    const openWindowId = this.windowIdAt(this.clusterTimeMs() - settleMs);
    return [...this.countsByWindow.keys()]
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
    const sums = new Map<Workspace, number>();
    for (const counts of this.countsByWindow.get(windowId)?.values() ?? []) {
      for (const [workspace, { value }] of counts) {
        sums.set(workspace, (sums.get(workspace) ?? 0) + value);
      }
    }
    return { windowId, counts: Object.fromEntries(sums) };
  }

  private windowIdAt(atMs: number): number {
    return Math.floor(atMs / this.windowMs);
  }

  private countsIn(
    windowId: number,
    lifetime: string,
  ): WorkspaceCounts | undefined {
    return this.countsByWindow.get(windowId)?.get(lifetime);
  }

  private set(
    windowId: number,
    lifetime: string,
    workspace: Workspace,
    value: number,
  ): void {
    const byLifetime =
      this.countsByWindow.get(windowId) ?? new Map<string, WorkspaceCounts>();
    const counts: WorkspaceCounts =
      byLifetime.get(lifetime) ?? new Map<Workspace, Count>();
    this.changeCount += 1;
    counts.set(workspace, { value, change: this.changeCount });
    byLifetime.set(lifetime, counts);
    this.countsByWindow.set(windowId, byLifetime);
  }

  private deleteExpiredWindows(nowMs: number): void {
    this.oldestRetainedId = this.windowIdAt(nowMs) - RETAINED_WINDOWS;
    for (const windowId of this.countsByWindow.keys())
      if (windowId < this.oldestRetainedId)
        this.countsByWindow.delete(windowId);
  }
}

function valuesOf(
  counts: Iterable<readonly [Workspace, Count]>,
): Record<Workspace, number> {
  return Object.fromEntries(
    Array.from(counts, ([workspace, { value }]) => [workspace, value]),
  );
}
