import type {
  AttemptObservation,
  RolloutOrder,
  VersionConstraint,
  VersionedAttempt,
} from '../forwarding/index.js';
import type { Finding, KindEvidence } from '../moves/index.js';
import { RegressionDetector } from '../moves/index.js';
import { AttemptCollector } from './attempt-collector.js';
import { EvidenceAccumulator } from './evidence-accumulator.js';
import { isShownHealthy } from './health-evidence.js';
import type { RolloutHints } from './rollout-hints.js';
import { mergePhases, RolloutPhase } from './rollout-hints.js';

/** What a rollout depends on; all of it may change while it runs, and before its daemon knows any configuration. */
export interface CanaryOptions {
  /** Largest share of the group's requests that may use the new version during the canary phase. */
  readonly exposureShare: number;
  /** Requests allowed in addition to `exposureShare`, summed over all daemons. */
  readonly exposureSlack: number;
  /** Returns the number of daemons. */
  readonly daemons: () => number;
  /** Returns the names of the routes that lead to the group. */
  readonly routes: () => readonly string[];
}

/** Part of the allowed exposure that is used, as daemons send unevenly and don't know what the others send. */
const EXPOSURE_SAFETY_FACTOR = 0.6;
/** Part of the slack that is available at the start; the rest becomes available over the canary phase. */
const INITIAL_SLACK_SHARE = 0.25;
/** Time before the deadline at which a version without a finding gets all requests. */
const SWITCH_LEAD_MS = 3_000; // two exchanges of hints and the end of most answers of the old version
/** Time before the deadline at which success is recorded even if the old version still has requests. */
const SUCCESS_LEAD_MS = 700; // one write and its retry
/** Minimum time from the first completion check in the switching phase until success may be recorded. */
const MIN_SWITCHING_MS = 1_200; // two exchanges of hints
const FALSE_FINDING_RATE = 0.005;
/** Interval at which the evidence is evaluated. */
const BLOCK_MS = 1_000;

/**
 * One daemon's state of a canary rollout, which moves a group to another
 * version within a time limit. A small share of the requests uses the new
 * version first; a statistical finding against it rolls the version back.
 */
export class CanaryRollout {
  phase = RolloutPhase.Canary;
  finding: Finding | undefined;
  private readonly collector = new AttemptCollector();
  private readonly ownEvidence = new EvidenceAccumulator();
  /** Evidence of this daemon and its peers that is not evaluated yet. */
  private readonly pendingEvidence = new EvidenceAccumulator();
  /** Evidence in the last hints of each peer, by lifetime. */
  private readonly lastPeerEvidence = new Map<
    string,
    readonly KindEvidence[]
  >();
  /** Evidence of all daemons that has been evaluated. */
  private readonly totalEvidence = new EvidenceAccumulator();
  private readonly judge: RegressionDetector;
  /** Requests of the group during the canary phase. */
  private requests = 0;
  /** Those of `requests` that used the new version. */
  private tried = 0;
  private switchedAtMs: number | undefined;
  private nextBlockAtMs: number;

  constructor(
    readonly order: RolloutOrder,
    private startedAtMs: number,
    private readonly options: CanaryOptions,
  ) {
    this.nextBlockAtMs = startedAtMs + BLOCK_MS;
    this.judge = new RegressionDetector({
      kinds: options.routes,
      plannedBlocks: Math.ceil(order.durationMs / BLOCK_MS),
      falseFindingRate: FALSE_FINDING_RATE,
    });
  }

  get deadlineAtMs(): number {
    return this.startedAtMs + this.order.durationMs;
  }

  /** Returns the versions that the next request of the group may use, and counts the request. */
  choose(nowMs: number): VersionConstraint {
    const { toVersion } = this.order;
    switch (this.phase) {
      case RolloutPhase.Switching:
      case RolloutPhase.Succeeded:
        return { only: toVersion };
      case RolloutPhase.RolledBack:
        return { not: toVersion };
      case RolloutPhase.Canary:
        this.requests += 1;
        if (nowMs >= this.deadlineAtMs || !this.mayUseNewVersion(nowMs)) {
          return { not: toVersion };
        }
        this.tried += 1;
        return { only: toVersion };
    }
  }

  /** Starts the observation of an attempt that is sent now. */
  observe(attempt: VersionedAttempt, nowMs: number): AttemptObservation {
    const isNewVersion = attempt.version === this.order.toVersion;
    return this.collector.observe({ kind: attempt.route, isNewVersion }, nowMs);
  }

  /** Evaluates the evidence since the last block and rolls back on a finding; does nothing until a block is over. */
  tick(nowMs: number): void {
    if (nowMs < this.nextBlockAtMs) return;
    this.nextBlockAtMs = nowMs + BLOCK_MS;
    const evidence = this.collector.drain(nowMs);
    this.ownEvidence.add(evidence);
    this.pendingEvidence.add(evidence);
    const block = this.pendingEvidence.drain();
    this.totalEvidence.add(block);
    const finding = this.judge.add(block);
    if (finding === undefined || !this.isActive()) return;
    this.finding = finding;
    this.phase = RolloutPhase.RolledBack;
  }

  /** Ends the canary phase when it is due. Called only by the daemon that holds the duties. */
  decide(nowMs: number): void {
    if (this.phase !== RolloutPhase.Canary) return;
    if (nowMs < this.deadlineAtMs - SWITCH_LEAD_MS) return;
    const isHealthy = isShownHealthy(this.evidence());
    const isInTime = nowMs < this.deadlineAtMs;
    this.phase =
      isHealthy && isInTime ? RolloutPhase.Switching : RolloutPhase.RolledBack;
  }

  /**
   * Returns whether success may be recorded, after which the old endpoints
   * stop at once. `oldInFlight` is the number of requests still in flight at
   * them.
   */
  mayComplete(oldInFlight: number, nowMs: number): boolean {
    if (this.phase !== RolloutPhase.Switching) return false;
    this.switchedAtMs ??= nowMs;
    const isPropagated = nowMs >= this.switchedAtMs + MIN_SWITCHING_MS;
    const isDue = nowMs >= this.deadlineAtMs - SUCCESS_LEAD_MS;
    return isDue || (isPropagated && oldInFlight === 0);
  }

  /** Returns the state of this rollout for the hints to peers. */
  hints(nowMs: number): RolloutHints {
    const { group, revision } = this.order;
    return {
      group,
      revision,
      ageMs: Math.max(0, nowMs - this.startedAtMs),
      phase: this.phase,
      evidence: this.ownEvidence.values(),
    };
  }

  /** Merges a peer's phase and start time, and adds its evidence since its last hints while the rollout is active. */
  applyPeer(lifetime: string, hints: RolloutHints, nowMs: number): void {
    this.phase = mergePhases(hints.phase, this.phase);
    this.startedAtMs = Math.min(this.startedAtMs, nowMs - hints.ageMs);
    if (!this.isActive()) {
      this.lastPeerEvidence.clear();
      return;
    }
    const peerEvidence = new EvidenceAccumulator();
    peerEvidence.add(hints.evidence);
    this.pendingEvidence.add(
      peerEvidence.increaseSince(this.lastPeerEvidence.get(lifetime) ?? []),
    );
    this.lastPeerEvidence.set(lifetime, hints.evidence);
  }

  /** Returns the evidence of all daemons that has been evaluated. */
  evidence(): readonly KindEvidence[] {
    return this.totalEvidence.values();
  }

  /** Returns the state for the operators' state dump. */
  dumpState(): unknown {
    const { finding, order, phase, requests, tried } = this;
    return {
      order,
      phase,
      finding,
      requests,
      tried,
      seen: this.evidence(),
      peersWithEvidence: this.lastPeerEvidence.size,
    };
  }

  private isActive(): boolean {
    return (
      this.phase === RolloutPhase.Canary ||
      this.phase === RolloutPhase.Switching
    );
  }

  /** Returns whether one more request may use the new version within the allowed exposure. */
  private mayUseNewVersion(nowMs: number): boolean {
    const { daemons, exposureShare, exposureSlack } = this.options;
    const { durationMs } = this.order;
    const elapsedShare = (nowMs - this.startedAtMs) / durationMs;
    const slack =
      (exposureSlack / daemons()) *
      Math.min(1, INITIAL_SLACK_SHARE + elapsedShare);
    const allowed =
      (exposureShare * this.requests + slack) * EXPOSURE_SAFETY_FACTOR;
    return this.tried + 1 <= allowed;
  }
}
