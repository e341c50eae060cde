import type {
  CompletedRequest,
  CrashGuard,
  EndpointCrash,
} from '../forwarding/index.js';
import type { Log, Metrics } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import { CrashLedger } from './crash-ledger.js';
import type { QuarantineHints } from './quarantine-hints.js';
import {
  MAX_BLOCKED_IDS,
  MAX_IDS_PER_REQUEST,
  MAX_SUSPECT_ID_LENGTH,
} from './quarantine-hints.js';

/** Number of endpoints that must have crashed under an id, and under no other one as often. */
const MIN_CRASHES = 3;
/** Number of crashes from which an id is blocked although another one explains as many. */
const MIN_CRASHES_IF_TIED = 5;
/** Time for which requests with an id are rejected. */
const BLOCK_MS = 600_000; // learning it again costs a few endpoints
/** Shortest remaining time of a block that is taken over from a peer. */
const MIN_ADOPTED_BLOCK_MS = 1_000; // else peers renew a block that is about to end from one another

export interface RequestQuarantineDependencies {
  readonly nowMs: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Rejects requests under which one endpoint after the other has crashed, as a
 * whole or by a part of their prompt. Evidence and blocks are exchanged with peers, as such requests
 * arrive at any daemon.
 */
export class RequestQuarantine implements CrashGuard {
  private readonly ledger = new CrashLedger();
  private readonly blockedUntilMs = new Map<string, number>();

  constructor(private readonly deps: RequestQuarantineDependencies) {}

  blockedForMs(suspectIds: readonly string[]): number | undefined {
    if (this.blockedUntilMs.size === 0) return undefined;
    const nowMs = this.deps.nowMs();
    const remainingMs = suspectIds.map(
      id => (this.blockedUntilMs.get(id) ?? nowMs) - nowMs,
    );
    const longestMs = Math.max(0, ...remainingMs);
    return longestMs > 0 ? longestMs : undefined;
  }

  recordCrash(crash: EndpointCrash): void {
    const suspectIds = shareableIds(crash.suspectIds);
    this.deps.metrics.increment('crashes.recorded');
    const isRefuted = this.ledger.addCrash({ ...crash, suspectIds });
    if (isRefuted) this.reportRefuted(crash.endpointId, 'evidence');
    this.evaluate();
  }

  recordCompleted(
    suspectIds: readonly string[],
    completed?: CompletedRequest,
  ): void {
    const nowMs = this.deps.nowMs();
    if (completed !== undefined) {
      const { endpointId, sentAtMs } = completed;
      if (this.ledger.addServed(endpointId, sentAtMs))
        this.reportRefuted(endpointId, 'evidence');
    }
    for (const id of shareableIds(suspectIds)) {
      this.ledger.addCompletion(id, nowMs);
    }
  }

  /** Judges the crashes that have settled, and returns this daemon's knowledge for its hints to its peers. */
  hints(): QuarantineHints {
    this.evaluate();
    const nowMs = this.deps.nowMs();
    const blocked = [...this.blockedUntilMs].map(([partId, untilMs]) => ({
      partId,
      remainingMs: untilMs - nowMs,
    }));
    return { ...this.ledger.hints(nowMs), blocked };
  }

  /** Applies a peer's hints; their ages count from now. */
  applyPeer({ blocked, completed, crashes }: QuarantineHints): void {
    const nowMs = this.deps.nowMs();
    for (const { partId, remainingMs } of blocked) {
      if (remainingMs < MIN_ADOPTED_BLOCK_MS) continue;
      if (this.blockedUntilMs.has(partId)) continue;
      this.block(partId, nowMs + remainingMs, { source: 'peer' });
    }
    for (const { ageMs, partId } of completed) {
      this.ledger.addCompletion(partId, nowMs - ageMs);
    }
    for (const { endpointId, inFlightMs, partIds, ...crash } of crashes) {
      const { ageMs, isRefuted = false } = crash;
      const atMs = nowMs - ageMs;
      // Without the time of sending, the request counts as sent long before.
      const sentAtMs = atMs - (inFlightMs ?? Infinity);
      const suspectIds = partIds;
      const added = { endpointId, suspectIds, sentAtMs, atMs, isRefuted };
      if (this.ledger.addCrash(added))
        this.reportRefuted(endpointId, isRefuted ? 'peer' : 'evidence');
    }
    if (completed.length + crashes.length > 0) this.evaluate();
  }

  /** Blocks the ids that the crashes convict, the one with the most crashes first. */
  private evaluate(): void {
    const nowMs = this.deps.nowMs();
    this.removeExpired(nowMs);
    for (;;) {
      const isBlocked = (id: string) => this.blockedUntilMs.has(id);
      const suspects = this.ledger.suspects(nowMs, isBlocked);
      const [first] = suspects;
      if (first === undefined || first.crashes < MIN_CRASHES) return;
      const isTied = suspects[1]?.crashes === first.crashes;
      if (isTied && first.crashes < MIN_CRASHES_IF_TIED) return;
      this.block(first.id, nowMs + BLOCK_MS, {
        source: 'evidence',
        crashes: first.crashes,
        endpoints: first.endpointIds.join(','),
      });
    }
  }

  private block(
    id: string,
    untilMs: number,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    if (this.blockedUntilMs.size >= MAX_BLOCKED_IDS) {
      const [oldestId = ''] = this.blockedUntilMs.keys();
      this.blockedUntilMs.delete(oldestId);
    }
    this.blockedUntilMs.set(id, untilMs);
    const { log, metrics, nowMs } = this.deps;
    metrics.increment('prompts.blocked', 1);
    log.warn(
      LogComponent.Routing,
      'Requests that crash endpoints are blocked.',
      {
        id,
        forMs: Math.round(untilMs - nowMs()),
        ...fields,
      },
    );
  }

  /** Reports that an endpoint that was taken for crashed is sound. */
  private reportRefuted(endpoint: string, source: 'evidence' | 'peer'): void {
    const { log, metrics } = this.deps;
    metrics.increment('crashes.refuted', 1, { source });
    log.info(
      LogComponent.Routing,
      'An endpoint that was taken for crashed serves on.',
      { endpoint, source },
    );
  }

  private removeExpired(nowMs: number): void {
    for (const [id, untilMs] of this.blockedUntilMs) {
      if (untilMs <= nowMs) this.blockedUntilMs.delete(id);
    }
  }
}

/** Returns the ids that fit the hints, the less common ones before the rest. */
function shareableIds(suspectIds: readonly string[]): string[] {
  return suspectIds
    .filter(id => id.length > 0 && id.length <= MAX_SUSPECT_ID_LENGTH)
    .slice(-MAX_IDS_PER_REQUEST);
}
