import type { EndpointLoad } from '../forwarding/index.js';
import type { DaemonHints } from './daemon-hints.js';

/** Time after which a silent daemon's work no longer counts. */
const FRESH_MS = 3_000; // six exchanges
/** Time for which a silent daemon is remembered. */
const KEPT_MS = 30_000; // longer than any report of usage is due

/** Hints of one lifetime of a daemon, and when they came. */
export interface HeldHints {
  readonly hints: DaemonHints;
  readonly receivedAtMs: number;
}

/** The newest hints of each other daemon that were heard of lately. */
export class HintBoard {
  private readonly byLifetime = new Map<string, HeldHints>();

  /** Takes hints; false where newer ones of the same lifetime are held. */
  take(hints: DaemonHints, nowMs: number): boolean {
    const held = this.byLifetime.get(hints.lifetime);
    if (held !== undefined && held.hints.sequence >= hints.sequence) {
      return false;
    }
    this.byLifetime.set(hints.lifetime, { hints, receivedAtMs: nowMs });
    for (const [lifetime, { receivedAtMs }] of this.byLifetime) {
      if (nowMs - receivedAtMs > KEPT_MS) this.byLifetime.delete(lifetime);
    }
    return true;
  }

  /** Daemons that were heard of lately. */
  fresh(nowMs: number): readonly HeldHints[] {
    return [...this.byLifetime.values()].filter(
      each => nowMs - each.receivedAtMs < FRESH_MS,
    );
  }

  /** Lifetimes that are remembered. */
  lifetimes(): ReadonlySet<string> {
    return new Set(this.byLifetime.keys());
  }

  /** Time since a daemon was last heard of; undefined where it never was. */
  silentForMs(daemonId: string, nowMs: number): number | undefined {
    const ages = [...this.byLifetime.values()]
      .filter(each => each.hints.daemonId === daemonId)
      .map(each => nowMs - each.receivedAtMs);
    return ages.length === 0 ? undefined : Math.min(...ages);
  }

  /** Work of the fresh daemons together, by endpoint. */
  work(nowMs: number): ReadonlyMap<string, EndpointLoad> {
    const sums = new Map<string, EndpointLoad>();
    for (const { hints } of this.fresh(nowMs)) {
      for (const [id, work] of Object.entries(hints.work)) {
        const sum = sums.get(id);
        sums.set(id, {
          running: work.running + (sum?.running ?? 0),
          backlogTokens: work.backlogTokens + (sum?.backlogTokens ?? 0),
        });
      }
    }
    return sums;
  }

  /**
   * Time at which some other daemon last began a read of the endpoints that
   * succeeded, among those whose list is no newer than `version`.
   */
  endpointReadAtMs(version: number, nowMs: number): number {
    const timesMs = this.fresh(nowMs)
      .filter(({ hints }) => hints.endpointsVersion <= version)
      .map(({ hints, receivedAtMs }) =>
        hints.endpointReadAgeMs === undefined
          ? -Infinity
          : receivedAtMs - hints.endpointReadAgeMs,
      );
    return Math.max(-Infinity, ...timesMs);
  }

  /** Whether another daemon said lately that it holds the duties. */
  hasHolder(nowMs: number): boolean {
    return this.fresh(nowMs).some(({ hints }) => hints.holdsDuties);
  }

  /** Hints by lifetime, for the operators. */
  dumpState(nowMs: number): unknown {
    return [...this.byLifetime.values()].map(({ hints, receivedAtMs }) => ({
      ...hints,
      silentForMs: Math.round(nowMs - receivedAtMs),
    }));
  }
}
