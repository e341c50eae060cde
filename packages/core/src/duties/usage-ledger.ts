import type { UsageCounter } from '../forwarding/index.js';
import type { DaemonHints, WindowUsage } from '../hints/index.js';
import type { Workspace } from '../ports/index.js';
import type { UsageReport } from './duty-calls.js';

/** Windows that are kept after their end. */
const KEPT_WINDOWS = 6; // a report is due two windows after its own

type Counts = Map<Workspace, number>;

/** Requests that endpoints began to run, by window and by the daemon that sent them. */
export class UsageLedger implements UsageCounter {
  private readonly own = new Map<number, Counts>();
  /** Counts of peers by window and lifetime. */
  private readonly peers = new Map<number, Map<string, Counts>>();

  /** `trueMs` reads the time that windows are cut by. */
  constructor(
    private readonly windowMs: number,
    private readonly trueMs: () => number,
  ) {}

  count(workspace: Workspace, startedAgoMs: number): void {
    const windowId = this.windowAt(this.trueMs() - startedAgoMs);
    const counts = this.own.get(windowId) ?? new Map<Workspace, number>();
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    this.own.set(windowId, counts);
    this.trim();
  }

  /** Counts of this daemon that are still of use to others. */
  ownUsage(): WindowUsage[] {
    this.trim();
    return [...this.own].map(([windowId, counts]) => ({
      windowId,
      counts: Object.fromEntries(counts),
    }));
  }

  /** Takes the counts of a peer's lifetime; they only rise. */
  applyPeer({
    lifetime,
    usage,
  }: Pick<DaemonHints, 'lifetime' | 'usage'>): void {
    for (const { counts, windowId } of usage) {
      const byLifetime = this.peers.get(windowId) ?? new Map<string, Counts>();
      const known = byLifetime.get(lifetime) ?? new Map<Workspace, number>();
      for (const [workspace, value] of Object.entries(counts)) {
        known.set(workspace, Math.max(value, known.get(workspace) ?? 0));
      }
      byLifetime.set(lifetime, known);
      this.peers.set(windowId, byLifetime);
    }
    this.trim();
  }

  /** Windows that ended at least `settleMs` ago and in which something was counted, oldest first. */
  endedWindows(settleMs: number): readonly number[] {
    const openId = this.windowAt(this.trueMs() - settleMs);
    return [...new Set([...this.own.keys(), ...this.peers.keys()])]
      .filter(windowId => windowId < openId)
      .sort((left, right) => left - right);
  }

  /** Time since the end of a window, in milliseconds. */
  endedAgoMs(windowId: number): number {
    return this.trueMs() - (windowId + 1) * this.windowMs;
  }

  /** Counts of all daemons together. */
  total(windowId: number): UsageReport {
    const peers = this.peers.get(windowId)?.values() ?? [];
    const own = this.own.get(windowId);
    const sums = new Map<Workspace, number>();
    for (const counts of [...peers, ...(own === undefined ? [] : [own])]) {
      for (const [workspace, value] of counts) {
        sums.set(workspace, (sums.get(workspace) ?? 0) + value);
      }
    }
    return { windowId, counts: Object.fromEntries(sums) };
  }

  private windowAt(trueMs: number): number {
    return Math.floor(trueMs / this.windowMs);
  }

  private trim(): void {
    const oldest = this.windowAt(this.trueMs()) - KEPT_WINDOWS;
    for (const windows of [this.own, this.peers]) {
      for (const windowId of windows.keys()) {
        if (windowId < oldest) windows.delete(windowId);
      }
    }
  }
}
