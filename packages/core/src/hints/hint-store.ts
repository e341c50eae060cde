import type { EndpointLoad } from '../forwarding/index.js';
import type { DaemonHints } from './daemon-hints.js';
import { DutyLeaseNews } from './duty-lease-news.js';
import { PeerLoad } from './peer-load.js';
import { PeerReads } from './peer-reads.js';

/** Age at which a daemon's hints no longer count towards the totals. */
const FRESHNESS_MS = 3_000; // six exchanges
/** Age at which a daemon's hints are deleted. */
const RETENTION_MS = 30_000; // longer than the time until any usage report is due

/** Latest hints of one lifetime of a daemon, with their time of arrival. */
export interface ReceivedHints {
  readonly hints: DaemonHints;
  readonly receivedAtMs: number;
}

/** Latest hints of each peer daemon. */
export class HintStore {
  /** In the order of their arrival. */
  private readonly byLifetime = new Map<string, ReceivedHints>();
  /** Last hints to arrive from each daemon, by its id. */
  private readonly byDaemon = new Map<string, ReceivedHints>();
  private readonly load = new PeerLoad();
  private readonly endpointReads = new PeerReads();
  private readonly operatorReads = new PeerReads();
  private readonly evacuationReads = new PeerReads();
  private readonly orderReads = new PeerReads();
  readonly dutyLease = new DutyLeaseNews();

  /**
   * Stores hints. Returns false where hints of the same lifetime with the same or
   * a higher sequence are stored. `builtAfterMs` is a time before which the peer
   * cannot have built them; without it they may have been in transit for long,
   * and ages in them are not trusted.
   */
  add(hints: DaemonHints, nowMs: number, builtAfterMs = -Infinity): boolean {
    const stored = this.byLifetime.get(hints.lifetime);
    if (stored !== undefined && stored.hints.sequence >= hints.sequence) {
      return false;
    }
    const received = { hints, receivedAtMs: nowMs };
    this.byLifetime.delete(hints.lifetime);
    this.byLifetime.set(hints.lifetime, received);
    this.byDaemon.set(hints.daemonId, received);
    this.load.replace(hints.lifetime, hints.work);
    this.recordReads(hints, builtAfterMs);
    if (hints.dutyLease !== undefined)
      this.dutyLease.record(hints.dutyLease, nowMs);
    this.deleteExpired(nowMs);
    return true;
  }

  /** Returns the hints that are recent enough to count. */
  freshHints(nowMs: number): readonly ReceivedHints[] {
    return [...this.byLifetime.values()].filter(
      received => nowMs - received.receivedAtMs < FRESHNESS_MS,
    );
  }

  /** Returns the lifetimes whose hints are stored. */
  lifetimes(): ReadonlySet<string> {
    return new Set(this.byLifetime.keys());
  }

  /** Returns the time since the last hints of a daemon; undefined where none are stored. */
  silentForMs(daemonId: string, nowMs: number): number | undefined {
    const received = this.byDaemon.get(daemonId);
    return received && nowMs - received.receivedAtMs;
  }

  /** Returns whether a daemon has said that it can be told usage counts. */
  takesUsageCounts(daemonId: string): boolean {
    return this.byDaemon.get(daemonId)?.hints.takesUsageCounts === true;
  }

  /** Returns whether a daemon passes usage counts on; undefined where none of its hints are stored. */
  collectsUsage(daemonId: string): boolean | undefined {
    const received = this.byDaemon.get(daemonId);
    if (received === undefined) return undefined;
    return received.hints.collectsUsage === true;
  }

  /** Returns the summed work of all peers with fresh hints, by endpoint. The map changes with later calls. */
  work(nowMs: number): ReadonlyMap<string, EndpointLoad> {
    for (const [lifetime, { receivedAtMs }] of this.byLifetime) {
      if (nowMs - receivedAtMs < FRESHNESS_MS) break;
      this.load.remove(lifetime);
    }
    return this.load.total;
  }

  /**
   * Returns the latest time at which a daemon began a successful read of the
   * endpoints, as told by peers whose list is no newer than `version`; -Infinity
   * where there is none.
   */
  endpointReadAtMs(version: number): number {
    return this.endpointReads.latestAtMs(version);
  }

  /** Returns the same for the operators' state, by the version of its configuration. */
  operatorReadAtMs(configurationVersion: number): number {
    return this.operatorReads.latestAtMs(configurationVersion);
  }

  /** Returns the same by the revision of the evacuations; peers that do not state their version confirm none. */
  evacuationReadAtMs(revision: number): number {
    return this.evacuationReads.latestAtMs(revision);
  }

  /**
   * Returns the same by the revision of the newest rollout order. Peers that do not
   * state it confirm none: those of earlier builds also take a watch that waits for a read.
   */
  orderReadAtMs(revision: number): number {
    return this.orderReads.latestAtMs(revision);
  }

  /** Returns whether a peer recently held the lease for the duties. */
  hasHolder(nowMs: number): boolean {
    if (this.dutyLease.holderId(nowMs) !== undefined) return true;
    return this.freshHints(nowMs).some(({ hints }) => hints.holdsDuties);
  }

  /** Returns the stored hints for the operators' state dump. */
  dumpState(nowMs: number): unknown {
    return [...this.byLifetime.values()].map(({ hints, receivedAtMs }) => ({
      ...hints,
      silentForMs: Math.round(nowMs - receivedAtMs),
    }));
  }

  private deleteExpired(nowMs: number): void {
    for (const [lifetime, received] of this.byLifetime) {
      if (nowMs - received.receivedAtMs <= RETENTION_MS) break;
      this.byLifetime.delete(lifetime);
      const { daemonId } = received.hints;
      if (this.byDaemon.get(daemonId) === received)
        this.byDaemon.delete(daemonId);
      this.load.remove(lifetime);
      this.endpointReads.delete(lifetime);
      this.operatorReads.delete(lifetime);
      this.evacuationReads.delete(lifetime);
      this.orderReads.delete(lifetime);
    }
  }

  private recordReads(hints: DaemonHints, builtAfterMs: number): void {
    const { configurationVersion, endpointsVersion, lifetime } = hints;
    const { endpointReadAgeMs, evacuationsVersion, operatorReadAgeMs } = hints;
    if (endpointReadAgeMs !== undefined) {
      const atMs = builtAfterMs - endpointReadAgeMs;
      this.endpointReads.record(lifetime, endpointsVersion, atMs);
    }
    if (operatorReadAgeMs === undefined) return;
    const atMs = builtAfterMs - operatorReadAgeMs;
    const parts = [
      { reads: this.operatorReads, version: configurationVersion },
      { reads: this.evacuationReads, version: evacuationsVersion },
      { reads: this.orderReads, version: hints.ordersRevision },
    ];
    for (const { reads, version } of parts)
      if (version !== undefined) reads.record(lifetime, version, atMs);
  }
}
