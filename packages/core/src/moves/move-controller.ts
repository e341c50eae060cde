import type { EvidenceReport, RequestResult } from './evidence.js';
import { EvidenceCounter } from './evidence.js';
import type { BlockTiming } from './evidence-pool.js';
import { EvidencePool } from './evidence-pool.js';
import type {
  Finding,
  KindProgress,
  MoveEnding,
  MoveRecord,
  RollbackDecision,
} from './move.js';
import { MoveState, RollbackReason, Signal } from './move.js';
import type { MoveAction } from './move-action.js';
import { MoveActionKind } from './move-action.js';
import { RegressionDetector } from './regression-detector.js';
import {
  earliestEndAtMs,
  hasSufficientSamples,
  MIN_TOTAL_SAMPLE_COUNT,
  nextProgress,
} from './share-plan.js';

/** Largest age of the latest report of every live daemon at which shares may grow. */
const MAX_REPORT_AGE_MS = 5_000;

/** Time between two steps of the shares. */
const SHARE_STEP_INTERVAL_MS = 5_000;

/** Blocks for the pooled evidence of all daemons. */
const POOLED_BLOCK_TIMING: BlockTiming = { blockMs: 1_000, lagMs: 1_000 };

/** Blocks for the daemon's own evidence; longer, because it has fewer requests. */
const OWN_BLOCK_TIMING: BlockTiming = { blockMs: 4_000, lagMs: 0 };

/** Probability of rolling back a version that is as good as the old one. */
const FALSE_FINDING_RATE = 0.005;

/** Largest time since the last response of a peer or the key-value service at which requests go to the new version. */
const MAX_CONTACT_AGE_MS = 4_000;

/** Time after a rollback decision from which daemons other than the coordinators write the ending too. */
const NON_COORDINATOR_WRITE_DELAY_MS = 10_000;

/** Minimum time between two attempts of one daemon to write an ending. */
const MIN_WRITE_RETRY_INTERVAL_MS = 1_000;

/** Live daemons per second of the interval between attempts; a larger cluster retries more slowly. */
const DAEMONS_PER_RETRY_SECOND = 100;

/** State of the daemon that a tick depends on, besides the time. */
export interface TickContext {
  /** Whether this daemon holds the move's lease by its own clock. */
  readonly holdsLease: boolean;
  /** Whether this daemon is one of the coordinators of the move. */
  readonly coordinates: boolean;
  readonly liveDaemonIds: readonly string[];
}

/**
 * State machine of one version move on one daemon. Increasing shares and
 * completing the move require the lease, a compare-and-swap and recent evidence
 * of every live daemon; a rollback requires none of them and is final.
 */
export class MoveController {
  private readonly counter = new EvidenceCounter();
  private readonly pool = new EvidencePool(POOLED_BLOCK_TIMING);
  private readonly ownPool = new EvidencePool(OWN_BLOCK_TIMING);
  private readonly ownJudge: RegressionDetector;
  private readonly pooledJudge: RegressionDetector;
  private newCounts = new Map<string, number>();
  /** Rollback decision for this move, once one is known. */
  private knownBrake: RollbackDecision | undefined;
  /** Whether the rollback decision was broadcast. */
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
    // Starts at the current time, so that a restarted daemon does not reuse sequence numbers.
    this.sequence = nowMs;
    this.lastContactAtMs = nowMs;
    this.ownJudge = this.createDetector(OWN_BLOCK_TIMING);
    this.pooledJudge = this.createDetector(POOLED_BLOCK_TIMING);
    this.restoreCounts();
  }

  get record(): MoveRecord {
    return this.current;
  }

  get recordVersion(): number {
    return this.version;
  }

  get rollbackDecision(): RollbackDecision | undefined {
    return this.knownBrake;
  }

  /**
   * Returns the share of a kind's requests for the new version, from 0 to 1.
   * A daemon without recent contact to a peer or the key-value service may have
   * missed a rollback decision and uses the old version.
   */
  share(kind: string, nowMs: number): number {
    const { progress, spec, state } = this.current;
    if (state === MoveState.Done) return 1;
    const hasEnded =
      state === MoveState.RolledBack || nowMs >= spec.deadlineAtMs;
    if (hasEnded || this.knownBrake !== undefined) return 0;
    if (nowMs - this.lastContactAtMs > MAX_CONTACT_AGE_MS) return 0;
    return (
      progress.find(kindProgress => kindProgress.kind === kind)?.share ?? 0
    );
  }

  /** Records the result of a request that this daemon served. */
  recordResult(result: RequestResult): void {
    this.counter.record(result);
  }

  /** Returns this daemon's evidence since the previous report, and resets it. */
  createReport(nowMs: number): EvidenceReport {
    this.sequence += 1;
    const report: EvidenceReport = {
      moveId: this.current.spec.moveId,
      group: this.current.spec.group,
      daemonId: this.daemonId,
      sequence: this.sequence,
      reportedAtMs: nowMs,
      brake: this.knownBrake,
      kinds: [...this.counter.drain()],
    };
    this.ownPool.add(report);
    return report;
  }

  /** Applies a report of any daemon, including this one. */
  applyReport(report: EvidenceReport): void {
    if (report.moveId !== this.current.spec.moveId) return;
    if (report.brake !== undefined) this.applyRollback(report.brake);
    this.pool.add(report);
  }

  /** Applies a rollback decision of any daemon; the first one is kept. */
  applyRollback(decision: RollbackDecision): void {
    if (decision.moveId === this.current.spec.moveId)
      this.knownBrake ??= decision;
  }

  /** Records that a peer or the key-value service has responded to a call sent at `sentAtMs`. */
  recordContact(sentAtMs: number): void {
    this.lastContactAtMs = Math.max(this.lastContactAtMs, sentAtMs);
  }

  /** Applies a stored record of the same move; an older version is ignored. */
  applyRecord(record: MoveRecord, version: number): void {
    if (version <= this.version) return;
    this.current = record;
    this.version = version;
    this.restoreCounts();
  }

  /** Rolls the move back at an operator's request. */
  stop(nowMs: number): void {
    this.decideRollback(RollbackReason.Operator, undefined, nowMs);
  }

  /** Evaluates the evidence that is due and returns the actions to execute. */
  tick(nowMs: number, context: TickContext): readonly MoveAction[] {
    if (this.current.state !== MoveState.Running) return this.reportEnding();
    this.testOwnEvidence(nowMs);
    this.testPooledEvidence(nowMs);
    if (nowMs >= this.current.spec.deadlineAtMs) {
      this.decideRollback(RollbackReason.Deadline, undefined, nowMs);
    }
    const advanceActions =
      this.knownBrake === undefined ? this.advance(nowMs, context) : [];
    return [...this.rollbackActions(nowMs, context), ...advanceActions];
  }

  private createDetector({ blockMs }: BlockTiming): RegressionDetector {
    const { deadlineAtMs, kinds, startedAtMs } = this.current.spec;
    return new RegressionDetector({
      kinds: () => kinds,
      plannedBlocks: Math.ceil((deadlineAtMs - startedAtMs) / blockMs),
      falseFindingRate: FALSE_FINDING_RATE / 2,
    });
  }

  /** Raises the counts to those of the record, which another daemon may have written. */
  private restoreCounts(): void {
    for (const { kind, newCount } of this.current.progress) {
      const counted = this.newCounts.get(kind) ?? 0;
      this.newCounts.set(kind, Math.max(counted, newCount));
    }
  }

  /** Tests the evidence of this daemon, which works without any peer. */
  private testOwnEvidence(nowMs: number): void {
    for (const block of this.ownPool.drainDueBlocks(nowMs)) {
      this.rollBackOnFinding(this.ownJudge.add(block), nowMs);
    }
  }

  /** Tests the pooled evidence of all daemons whose reports arrive here. */
  private testPooledEvidence(nowMs: number): void {
    for (const block of this.pool.drainDueBlocks(nowMs)) {
      for (const kindEvidence of block) {
        const counted = this.newCounts.get(kindEvidence.kind) ?? 0;
        this.newCounts.set(
          kindEvidence.kind,
          counted + kindEvidence[Signal.Failure].newCount,
        );
      }
      this.rollBackOnFinding(this.pooledJudge.add(block), nowMs);
    }
  }

  private rollBackOnFinding(finding: Finding | undefined, nowMs: number): void {
    if (finding !== undefined) {
      this.decideRollback(RollbackReason.Evidence, finding, nowMs);
    }
  }

  private decideRollback(
    reason: RollbackReason,
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

  /** Broadcasts the rollback decision once, and writes the ending until a record with an ending is read. */
  private rollbackActions(
    nowMs: number,
    context: TickContext,
  ): readonly MoveAction[] {
    const decision = this.knownBrake;
    if (decision === undefined) return [];
    const actions: MoveAction[] = [];
    if (!this.brakeSpread) {
      this.brakeSpread = true;
      actions.push({
        kind: MoveActionKind.BroadcastRollback,
        rollback: decision,
      });
    }
    if (!this.mayWriteEnding(decision, nowMs, context)) return actions;
    actions.push(
      this.createEndingWriteAction({
        state: MoveState.RolledBack,
        endedAtMs: nowMs,
        reason: decision.reason,
        finding: decision.finding,
        newRequests: this.totalNewCount(),
        unprovedKinds: this.unprovedKinds(),
      }),
    );
    return actions;
  }

  /** Limits who writes an ending: the coordinators and the deciding daemon first, later all daemons in case those are unavailable. */
  private mayWriteEnding(
    decision: RollbackDecision,
    nowMs: number,
    context: TickContext,
  ): boolean {
    const isPreferredWriter =
      context.coordinates || decision.daemonId === this.daemonId;
    const isLate =
      nowMs >= decision.pulledAtMs + NON_COORDINATOR_WRITE_DELAY_MS;
    if (nowMs < this.nextEndingAtMs || (!isPreferredWriter && !isLate))
      return false;
    const clusterIntervalMs =
      (context.liveDaemonIds.length / DAEMONS_PER_RETRY_SECOND) * 1_000;
    this.nextEndingAtMs =
      nowMs + Math.max(MIN_WRITE_RETRY_INTERVAL_MS, clusterIntervalMs);
    return true;
  }

  /** Returns the action that grows the shares or completes the move, if it may and is due. */
  private advance(nowMs: number, context: TickContext): readonly MoveAction[] {
    const { spec } = this.current;
    const isEvidenceRecent = this.pool.haveAllReportedSince(
      context.liveDaemonIds,
      nowMs - MAX_REPORT_AGE_MS,
    );
    const isDue = nowMs >= this.nextStepAtMs;
    if (!context.holdsLease || !isEvidenceRecent || !isDue) return [];
    if (nowMs >= earliestEndAtMs(spec)) return this.complete(nowMs);
    this.nextStepAtMs = nowMs + SHARE_STEP_INTERVAL_MS;
    const counted = this.current.progress.map(kindProgress => ({
      ...kindProgress,
      newCount: this.newCounts.get(kindProgress.kind) ?? 0,
    }));
    const rates = this.pool.kindRates();
    const progress = nextProgress(spec, counted, rates, nowMs);
    const hasGrown = progress.some(
      (kindProgress, index) =>
        kindProgress.share > (this.current.progress[index]?.share ?? 0),
    );
    return hasGrown
      ? [this.createWriteAction({ ...this.current, progress: [...progress] })]
      : [];
  }

  /** Completes the move, or rolls it back if the new version served too few requests. */
  private complete(nowMs: number): readonly MoveAction[] {
    if (this.totalNewCount() < MIN_TOTAL_SAMPLE_COUNT) {
      this.decideRollback(
        RollbackReason.InsufficientEvidence,
        undefined,
        nowMs,
      );
      return [];
    }
    return [
      this.createEndingWriteAction({
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

  private createEndingWriteAction(ending: MoveEnding): MoveAction {
    const share = ending.state === MoveState.Done ? 1 : 0;
    const progress = this.current.progress.map(kindProgress => ({
      ...kindProgress,
      share,
    }));
    return this.createWriteAction({
      ...this.current,
      state: ending.state,
      progress,
      ending,
    });
  }

  private createWriteAction(record: MoveRecord): MoveAction {
    const expectedVersion = this.version;
    return { kind: MoveActionKind.WriteRecord, record, expectedVersion };
  }

  private totalNewCount(): number {
    return [...this.newCounts.values()].reduce(
      (sum, newCount) => sum + newCount,
      0,
    );
  }

  private unprovedKinds(): string[] {
    return this.current.progress
      .map((kindProgress): KindProgress => ({
        ...kindProgress,
        newCount: this.newCounts.get(kindProgress.kind) ?? 0,
      }))
      .filter(kindProgress => !hasSufficientSamples(kindProgress))
      .map(kindProgress => kindProgress.kind);
  }
}
