import type { EvidenceReport, RequestResult } from './evidence.js';
import { EvidenceCounter } from './evidence.js';
import type { BlockTiming } from './evidence-pool.js';
import { EvidencePool } from './evidence-pool.js';
import type {
  Brake,
  Finding,
  KindProgress,
  MoveEnding,
  MoveRecord,
} from './move.js';
import { MoveState, Signal, TakeBackReason } from './move.js';
import type { MoveAction } from './move-action.js';
import { MoveActionKind } from './move-action.js';
import {
  endFromMs,
  isProved,
  MIN_JUDGED_COUNT,
  nextProgress,
} from './share-plan.js';
import { VersionJudge } from './version-judge.js';

/** Oldest report of a live daemon with which the move may go forward. */
const FRESH_WITHIN_MS = 5_000;

/** Time between two steps forward. */
const STEP_INTERVAL_MS = 5_000;

/** Blocks of the evidence of all daemons. */
const POOLED_BLOCKS: BlockTiming = { blockMs: 1_000, lagMs: 1_000 };

/** Blocks of one daemon's own evidence, which is scarcer. */
const OWN_BLOCKS: BlockTiming = { blockMs: 4_000, lagMs: 0 };

/** Probability of taking back a version that is as good as the old one. */
const FALSE_FINDING_RATE = 0.005;

/** Longest silence of all peers and the key-value service under which new work goes to the new version. */
const CONTACT_WITHIN_MS = 4_000;

/** Time after a brake at which daemons that do not coordinate the move write its end too. */
const OTHERS_WRITE_AFTER_MS = 10_000;

/** Least time between two tries of one daemon to write an end. */
const WRITE_INTERVAL_MS = 1_000;

/** Live daemons for each second between two tries. */
const DAEMONS_PER_WRITE_SECOND = 100;

/** What a tick depends on besides the time. */
export interface TickContext {
  /** This daemon holds the move's lease by its own clock. */
  readonly holdsLease: boolean;
  /** This daemon is one of those that coordinate the move. */
  readonly coordinates: boolean;
  readonly liveDaemonIds: readonly string[];
}

/**
 * One daemon's part in one version move. Going forward needs the lease, the
 * compare-and-swap and fresh evidence of every live daemon; taking back needs
 * none of them, and is final.
 */
export class MoveController {
  private readonly counter = new EvidenceCounter();
  private readonly pool = new EvidencePool(POOLED_BLOCKS);
  private readonly ownPool = new EvidencePool(OWN_BLOCKS);
  private readonly ownJudge: VersionJudge;
  private readonly pooledJudge: VersionJudge;
  private newCounts = new Map<string, number>();
  private knownBrake: Brake | undefined;
  private brakeSpread = false;
  private endingReported = false;
  private sequence: number;
  private nextStepAtMs = 0;
  private nextEndingAtMs = 0;
  private lastContactAtMs: number;

  constructor(
    private readonly daemonId: string,
    private current: MoveRecord,
    private version: number,
    nowMs: number,
  ) {
    // Counts on from the time of the start, so that a restart repeats no number.
    this.sequence = nowMs;
    this.lastContactAtMs = nowMs;
    this.ownJudge = this.createJudge(OWN_BLOCKS);
    this.pooledJudge = this.createJudge(POOLED_BLOCKS);
    this.resumeCounts();
  }

  get record(): MoveRecord {
    return this.current;
  }

  get recordVersion(): number {
    return this.version;
  }

  get brake(): Brake | undefined {
    return this.knownBrake;
  }

  /**
   * Share of a kind's requests for the new version, from 0 to 1. A daemon that
   * has heard of no one for a while cannot know of a brake and uses the old version.
   */
  share(kind: string, nowMs: number): number {
    const { progress, spec, state } = this.current;
    if (state === MoveState.Done) return 1;
    const isOver = state === MoveState.TakenBack || nowMs >= spec.deadlineAtMs;
    if (isOver || this.knownBrake !== undefined) return 0;
    if (nowMs - this.lastContactAtMs > CONTACT_WITHIN_MS) return 0;
    return progress.find(each => each.kind === kind)?.share ?? 0;
  }

  /** Counts a request that this daemon served. */
  recordResult(result: RequestResult): void {
    this.counter.record(result);
  }

  /** What this daemon saw since its last report. */
  takeReport(nowMs: number): EvidenceReport {
    this.sequence += 1;
    const report: EvidenceReport = {
      moveId: this.current.spec.moveId,
      group: this.current.spec.group,
      daemonId: this.daemonId,
      sequence: this.sequence,
      reportedAtMs: nowMs,
      brake: this.knownBrake,
      kinds: [...this.counter.take()],
    };
    this.ownPool.add(report);
    return report;
  }

  /** Takes a report of any daemon, this one included. */
  onReport(report: EvidenceReport): void {
    if (report.moveId !== this.current.spec.moveId) return;
    if (report.brake !== undefined) this.onBrake(report.brake);
    this.pool.add(report);
  }

  /** Takes a brake of any daemon; it holds from now on. */
  onBrake(brake: Brake): void {
    if (brake.moveId === this.current.spec.moveId) this.knownBrake ??= brake;
  }

  /** Notes that a peer or the key-value service has answered a call sent at `sentAtMs`. */
  onContact(sentAtMs: number): void {
    this.lastContactAtMs = Math.max(this.lastContactAtMs, sentAtMs);
  }

  /** Takes the stored record of the same move; an older version changes nothing. */
  onRecord(record: MoveRecord, version: number): void {
    if (version <= this.version) return;
    this.current = record;
    this.version = version;
    this.resumeCounts();
  }

  /** Ends the move at an operator's word. */
  stop(nowMs: number): void {
    this.pull(TakeBackReason.Operator, undefined, nowMs);
  }

  tick(nowMs: number, context: TickContext): readonly MoveAction[] {
    if (this.current.state !== MoveState.Running) return this.reportEnding();
    this.judgeOwn(nowMs);
    this.judgePooled(nowMs);
    if (nowMs >= this.current.spec.deadlineAtMs) {
      this.pull(TakeBackReason.Deadline, undefined, nowMs);
    }
    const forward =
      this.knownBrake === undefined ? this.forward(nowMs, context) : [];
    return [...this.brakeActions(nowMs, context), ...forward];
  }

  private createJudge({ blockMs }: BlockTiming): VersionJudge {
    const { deadlineAtMs, kinds, startedAtMs } = this.current.spec;
    return new VersionJudge({
      kinds,
      plannedBlocks: Math.ceil((deadlineAtMs - startedAtMs) / blockMs),
      falseFindingRate: FALSE_FINDING_RATE / 2,
    });
  }

  private resumeCounts(): void {
    for (const { kind, newCount } of this.current.progress) {
      const counted = this.newCounts.get(kind) ?? 0;
      this.newCounts.set(kind, Math.max(counted, newCount));
    }
  }

  /** Judges what this daemon saw itself, which it can do without any other. */
  private judgeOwn(nowMs: number): void {
    for (const block of this.ownPool.take(nowMs)) {
      this.pullOn(this.ownJudge.add(block), nowMs);
    }
  }

  /** Judges what all daemons saw, as far as their reports come here. */
  private judgePooled(nowMs: number): void {
    for (const block of this.pool.take(nowMs)) {
      for (const each of block) {
        const counted = this.newCounts.get(each.kind) ?? 0;
        this.newCounts.set(each.kind, counted + each[Signal.Failure].newCount);
      }
      this.pullOn(this.pooledJudge.add(block), nowMs);
    }
  }

  private pullOn(finding: Finding | undefined, nowMs: number): void {
    if (finding !== undefined) {
      this.pull(TakeBackReason.Evidence, finding, nowMs);
    }
  }

  private pull(
    reason: TakeBackReason,
    finding: Finding | undefined,
    nowMs: number,
  ): void {
    const { group, moveId } = this.current.spec;
    this.knownBrake ??= {
      moveId,
      group,
      daemonId: this.daemonId,
      pulledAtMs: nowMs,
      reason,
      finding,
    };
  }

  /** Spreads a brake once and writes it down until a record with an end is read. */
  private brakeActions(
    nowMs: number,
    context: TickContext,
  ): readonly MoveAction[] {
    const brake = this.knownBrake;
    if (brake === undefined) return [];
    const actions: MoveAction[] = [];
    if (!this.brakeSpread) {
      this.brakeSpread = true;
      actions.push({ kind: MoveActionKind.SpreadBrake, brake });
    }
    if (!this.mayWriteEnding(brake, nowMs, context)) return actions;
    actions.push(
      this.writeEnding({
        state: MoveState.TakenBack,
        endedAtMs: nowMs,
        reason: brake.reason,
        finding: brake.finding,
        newRequests: this.totalNewCount(),
        unprovedKinds: this.unprovedKinds(),
      }),
    );
    return actions;
  }

  /** Few daemons write an end at once; all do where those few are gone. */
  private mayWriteEnding(
    brake: Brake,
    nowMs: number,
    context: TickContext,
  ): boolean {
    const isFirst = context.coordinates || brake.daemonId === this.daemonId;
    const isLate = nowMs >= brake.pulledAtMs + OTHERS_WRITE_AFTER_MS;
    if (nowMs < this.nextEndingAtMs || (!isFirst && !isLate)) return false;
    const spreadMs =
      (context.liveDaemonIds.length / DAEMONS_PER_WRITE_SECOND) * 1_000;
    this.nextEndingAtMs = nowMs + Math.max(WRITE_INTERVAL_MS, spreadMs);
    return true;
  }

  private forward(nowMs: number, context: TickContext): readonly MoveAction[] {
    const { spec } = this.current;
    const isFresh = this.pool.isFresh(
      context.liveDaemonIds,
      nowMs - FRESH_WITHIN_MS,
    );
    const isDue = nowMs >= this.nextStepAtMs;
    if (!context.holdsLease || !isFresh || !isDue) return [];
    if (nowMs >= endFromMs(spec)) return this.finish(nowMs);
    this.nextStepAtMs = nowMs + STEP_INTERVAL_MS;
    const counted = this.current.progress.map(each => ({
      ...each,
      newCount: this.newCounts.get(each.kind) ?? 0,
    }));
    const rates = this.pool.kindRates();
    const progress = nextProgress(spec, counted, rates, nowMs);
    const hasGrown = progress.some(
      (each, index) => each.share > (this.current.progress[index]?.share ?? 0),
    );
    return hasGrown
      ? [this.write({ ...this.current, progress: [...progress] })]
      : [];
  }

  /** Ends the move as done, or takes it back where too little was seen to judge it. */
  private finish(nowMs: number): readonly MoveAction[] {
    if (this.totalNewCount() < MIN_JUDGED_COUNT) {
      this.pull(TakeBackReason.TooLittleEvidence, undefined, nowMs);
      return [];
    }
    return [
      this.writeEnding({
        state: MoveState.Done,
        endedAtMs: nowMs,
        newRequests: this.totalNewCount(),
        unprovedKinds: this.unprovedKinds(),
      }),
    ];
  }

  private reportEnding(): readonly MoveAction[] {
    const { ending, spec } = this.current;
    if (this.endingReported || ending === undefined) return [];
    this.endingReported = true;
    return [{ kind: MoveActionKind.ReportEnding, spec, ending }];
  }

  private writeEnding(ending: MoveEnding): MoveAction {
    const share = ending.state === MoveState.Done ? 1 : 0;
    const progress = this.current.progress.map(each => ({ ...each, share }));
    return this.write({
      ...this.current,
      state: ending.state,
      progress,
      ending,
    });
  }

  private write(record: MoveRecord): MoveAction {
    const expectedVersion = this.version;
    return { kind: MoveActionKind.WriteRecord, record, expectedVersion };
  }

  private totalNewCount(): number {
    return [...this.newCounts.values()].reduce((sum, each) => sum + each, 0);
  }

  private unprovedKinds(): string[] {
    return this.current.progress
      .map((each): KindProgress => ({
        ...each,
        newCount: this.newCounts.get(each.kind) ?? 0,
      }))
      .filter(each => !isProved(each))
      .map(each => each.kind);
  }
}
