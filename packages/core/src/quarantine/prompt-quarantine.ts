import type { PromptGuard, PromptPart } from '../forwarding/index.js';
import type { Log, Metrics } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import { CrashLedger } from './crash-ledger.js';
import type { QuarantineHints } from './quarantine-hints.js';
import {
  MAX_BLOCKED_PARTS,
  MAX_PART_ID_LENGTH,
  MAX_PARTS_PER_PROMPT,
} from './quarantine-hints.js';

/** Number of endpoints that must have crashed under a part, and under no other one as often. */
const MIN_CRASHES = 3;
/** Number of crashes from which a part is blocked although another one explains as many. */
const MIN_CRASHES_IF_TIED = 5;
/** Time for which requests with a part are rejected. */
const BLOCK_MS = 600_000; // learning it again costs a few endpoints
/** Shortest remaining time of a block that is taken over from a peer. */
const MIN_ADOPTED_BLOCK_MS = 1_000; // else peers renew a block that is about to end from one another

export interface PromptQuarantineDependencies {
  readonly nowMs: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Rejects requests with a prompt part under which one endpoint after the other
 * has crashed. Evidence and blocks are exchanged with peers, as such requests
 * arrive at any daemon.
 */
export class PromptQuarantine implements PromptGuard {
  private readonly ledger = new CrashLedger();
  private readonly blockedUntilMs = new Map<string, number>();

  constructor(private readonly deps: PromptQuarantineDependencies) {}

  blockedForMs(parts: readonly PromptPart[]): number | undefined {
    if (this.blockedUntilMs.size === 0) return undefined;
    const nowMs = this.deps.nowMs();
    const remainingMs = sharedPartIds(parts).map(
      id => (this.blockedUntilMs.get(id) ?? nowMs) - nowMs,
    );
    const longestMs = Math.max(0, ...remainingMs);
    return longestMs > 0 ? longestMs : undefined;
  }

  recordCrash(endpointId: string, parts: readonly PromptPart[]): void {
    const partIds = sharedPartIds(parts);
    if (partIds.length === 0) return;
    const atMs = this.deps.nowMs();
    this.ledger.addCrash({ endpointId, partIds, atMs });
    this.evaluate();
  }

  recordCompleted(parts: readonly PromptPart[]): void {
    const nowMs = this.deps.nowMs();
    for (const id of sharedPartIds(parts)) {
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
    for (const { ageMs, endpointId, partIds } of crashes) {
      this.ledger.addCrash({ endpointId, partIds, atMs: nowMs - ageMs });
    }
    if (completed.length + crashes.length > 0) this.evaluate();
  }

  /** Blocks the parts that the crashes convict, the one with the most crashes first. */
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
      this.block(first.partId, nowMs + BLOCK_MS, {
        source: 'evidence',
        crashes: first.crashes,
        endpoints: first.endpointIds.join(','),
      });
    }
  }

  private block(
    partId: string,
    untilMs: number,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    if (this.blockedUntilMs.size >= MAX_BLOCKED_PARTS) {
      const [oldestId = ''] = this.blockedUntilMs.keys();
      this.blockedUntilMs.delete(oldestId);
    }
    this.blockedUntilMs.set(partId, untilMs);
    const { log, metrics, nowMs } = this.deps;
    metrics.increment('prompts.blocked', 1);
    log.warn(LogComponent.Routing, 'A prompt part is blocked.', {
      partId,
      forMs: Math.round(untilMs - nowMs()),
      ...fields,
    });
  }

  private removeExpired(nowMs: number): void {
    for (const [id, untilMs] of this.blockedUntilMs) {
      if (untilMs <= nowMs) this.blockedUntilMs.delete(id);
    }
  }
}

/** Returns the ids of the parts that other requests may share, all but the last, within the limits of the hints. */
function sharedPartIds(parts: readonly PromptPart[]): string[] {
  return parts
    .slice(0, -1)
    .map(part => part.id)
    .filter(id => id.length > 0 && id.length <= MAX_PART_ID_LENGTH)
    .slice(0, MAX_PARTS_PER_PROMPT);
}
