import type {
  RolloutOrder,
  VersionConstraint,
  VersionedAttempt,
} from '../forwarding/index.js';
import type { Finding, KindEvidence } from '../moves/index.js';
import { EvidenceCounter, Signal, VersionJudge } from '../moves/index.js';
import { EvidenceSum } from './evidence-sum.js';
import type { RolloutHints } from './rollout-hints.js';
import { laterPhase, RolloutPhase } from './rollout-hints.js';

export interface TrialOptions {
  /** Share of the group's requests that the new version may get. */
  readonly exposureShare: number;
  /** Requests that it may get besides, over all daemons. */
  readonly exposureSlack: number;
  readonly daemons: () => number;
  /** Routes that lead to the group. */
  readonly routes: readonly string[];
}

/** Part of the exposure allowed that is used, as daemons send unevenly and in ignorance of one another. */
const EXPOSURE_USE = 0.6;
/** Part of the slack that may be used at once; the rest becomes free over the trial. */
const FIRST_SLACK = 0.25;
/** Time before the limit at which a version without a finding takes all requests. */
const SWITCH_LEAD_MS = 3_000; // two exchanges of hints and the end of most answers of the old version
/** Time before the limit by which success is to be said. */
const LAST_WORD_MS = 700; // a write and its repeat
/** Least time between the switch and the word of success. */
const SWITCH_MS = 1_200; // two exchanges of hints
/** Answers of the new version without which it cannot be judged. */
const MIN_JUDGED = 5;
const FALSE_FINDING_RATE = 0.005;
const BLOCK_MS = 1_000;

/** One daemon's part in moving a group to another version within a time limit. */
export class RolloutTrial {
  phase = RolloutPhase.Trial;
  finding: Finding | undefined;
  private readonly counter = new EvidenceCounter();
  private readonly own = new EvidenceSum();
  private readonly pending = new EvidenceSum();
  private readonly seenOfPeer = new Map<string, readonly KindEvidence[]>();
  private readonly all = new EvidenceSum();
  private readonly judge: VersionJudge;
  private requests = 0;
  private tried = 0;
  private switchedAtMs: number | undefined;
  private nextBlockAtMs: number;

  constructor(
    readonly order: RolloutOrder,
    private startedAtMs: number,
    private readonly options: TrialOptions,
  ) {
    this.nextBlockAtMs = startedAtMs + BLOCK_MS;
    this.judge = new VersionJudge({
      kinds: options.routes,
      plannedBlocks: Math.ceil(order.durationMs / BLOCK_MS),
      falseFindingRate: FALSE_FINDING_RATE,
    });
  }

  get limitAtMs(): number {
    return this.startedAtMs + this.order.durationMs;
  }

  /** Versions that the next request of the group may use. */
  choose(nowMs: number): VersionConstraint {
    const { toVersion } = this.order;
    switch (this.phase) {
      case RolloutPhase.Switching:
      case RolloutPhase.Succeeded:
        return { only: toVersion };
      case RolloutPhase.RolledBack:
        return { not: toVersion };
      case RolloutPhase.Trial:
        this.requests += 1;
        if (nowMs >= this.limitAtMs || !this.mayTry(nowMs)) {
          return { not: toVersion };
        }
        this.tried += 1;
        return { only: toVersion };
    }
  }

  recordAnswer(answer: VersionedAttempt): void {
    this.counter.record({
      kind: answer.route,
      isNewVersion: answer.version === this.order.toVersion,
      failed: answer.failed,
      ...(answer.responseMs === undefined
        ? {}
        : { firstTokenMs: answer.responseMs }),
    });
  }

  /** Judges what was seen since the last block. */
  tick(nowMs: number): void {
    if (nowMs < this.nextBlockAtMs) return;
    this.nextBlockAtMs = nowMs + BLOCK_MS;
    const seen = this.counter.take();
    this.own.add(seen);
    this.pending.add(seen);
    const block = this.pending.drain();
    this.all.add(block);
    const finding = this.judge.add(block);
    if (finding === undefined || !this.isOpen()) return;
    this.finding = finding;
    this.phase = RolloutPhase.RolledBack;
  }

  /** Ends the trial at its time; called by the daemon that holds the duties. */
  decide(nowMs: number): void {
    if (this.phase !== RolloutPhase.Trial) return;
    if (nowMs < this.limitAtMs - SWITCH_LEAD_MS) return;
    const isJudged = this.judgedCount() >= MIN_JUDGED;
    const isInTime = nowMs < this.limitAtMs;
    this.phase =
      isJudged && isInTime ? RolloutPhase.Switching : RolloutPhase.RolledBack;
  }

  /** Whether success may be said, after which the old endpoints stop at once. */
  mayFinish(oldRunning: number, nowMs: number): boolean {
    if (this.phase !== RolloutPhase.Switching) return false;
    this.switchedAtMs ??= nowMs;
    const isTold = nowMs >= this.switchedAtMs + SWITCH_MS;
    const isLast = nowMs >= this.limitAtMs - LAST_WORD_MS;
    return isLast || (isTold && oldRunning === 0);
  }

  hints(nowMs: number): RolloutHints {
    const { group, revision } = this.order;
    return {
      group,
      revision,
      ageMs: Math.max(0, nowMs - this.startedAtMs),
      phase: this.phase,
      evidence: this.own.values(),
    };
  }

  applyPeer(lifetime: string, hints: RolloutHints, nowMs: number): void {
    this.phase = laterPhase(hints.phase, this.phase);
    this.startedAtMs = Math.min(this.startedAtMs, nowMs - hints.ageMs);
    const sum = new EvidenceSum();
    sum.add(hints.evidence);
    this.pending.add(sum.since(this.seenOfPeer.get(lifetime) ?? []));
    this.seenOfPeer.set(lifetime, hints.evidence);
  }

  /** State for the operators. */
  dumpState(): unknown {
    const { all, finding, order, phase, requests, tried } = this;
    return { order, phase, finding, requests, tried, seen: all.values() };
  }

  private isOpen(): boolean {
    return (
      this.phase === RolloutPhase.Trial || this.phase === RolloutPhase.Switching
    );
  }

  /** Whether another request may try the new version within the exposure allowed. */
  private mayTry(nowMs: number): boolean {
    const { daemons, exposureShare, exposureSlack } = this.options;
    const { durationMs } = this.order;
    const passed = (nowMs - this.startedAtMs) / durationMs;
    const slack =
      (exposureSlack / daemons()) * Math.min(1, FIRST_SLACK + passed);
    const allowed = (exposureShare * this.requests + slack) * EXPOSURE_USE;
    return this.tried + 1 <= allowed;
  }

  private judgedCount(): number {
    return this.all
      .values()
      .reduce((sum, each) => sum + each[Signal.Failure].newCount, 0);
  }
}
