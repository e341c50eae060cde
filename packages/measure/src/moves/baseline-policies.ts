import type { MoveSpec, RequestResult } from '@skylarkreach/core/moves';
import { MoveState } from '@skylarkreach/core/moves';

import type { SharePolicy } from './simulate-move.js';

/** Traffic shares of the fixed steps; every step lasts an equal part of the move. */
const FIXED_SHARES = [0.05, 0.25, 0.5, 0.9];
const FAILURE_WINDOW_MS = 30_000;
const MIN_WINDOW_REQUESTS = 20;
const FAILURE_THRESHOLD = 0.05;

interface TimedResult {
  readonly atMs: number;
  readonly failed: boolean;
}

/** Returns a baseline that raises the share on a fixed schedule and ignores failures. */
export function createFixedStepPolicy(spec: MoveSpec): SharePolicy {
  return new ScheduledSharePolicy(spec, false);
}

/** Returns a baseline that raises the share on a fixed schedule and rolls back when the recent failure rate exceeds a threshold. */
export function createThresholdPolicy(spec: MoveSpec): SharePolicy {
  return new ScheduledSharePolicy(spec, true);
}

/** Scheduled policy that sees the results of all daemons at once and is not affected by platform faults. */
class ScheduledSharePolicy implements SharePolicy {
  private rolledBackAtMs: number | undefined;
  private state: MoveState | undefined;
  private recentResults: TimedResult[] = [];
  private nowMs: number;

  constructor(
    private readonly spec: MoveSpec,
    private readonly usesThreshold: boolean,
  ) {
    this.nowMs = spec.startedAtMs;
  }

  share(_index: number, _kind: string, nowMs: number): number {
    if (this.rolledBackAtMs !== undefined) return 0;
    const { deadlineAtMs, startedAtMs } = this.spec;
    const elapsedFraction =
      (nowMs - startedAtMs) / (deadlineAtMs - startedAtMs);
    return FIXED_SHARES[Math.floor(elapsedFraction * FIXED_SHARES.length)] ?? 1;
  }

  record(_index: number, result: RequestResult): void {
    if (!result.isNewVersion) return;
    this.recentResults.push({ atMs: this.nowMs, failed: result.failed });
  }

  step(nowMs: number): void {
    this.nowMs = nowMs;
    if (this.usesThreshold) this.rollBackAboveThreshold(nowMs);
    if (nowMs < this.spec.deadlineAtMs) return;
    this.state ??= MoveState.Done;
  }

  isServing(): boolean {
    return true;
  }

  rollbackAtMs(): number | undefined {
    return this.rolledBackAtMs;
  }

  finalState(): MoveState | undefined {
    return this.state;
  }

  finalReport() {
    return { unreported: false, conflicting: false, late: false };
  }

  private rollBackAboveThreshold(nowMs: number): void {
    this.recentResults = this.recentResults.filter(
      result => result.atMs > nowMs - FAILURE_WINDOW_MS,
    );
    const failures = this.recentResults.filter(result => result.failed).length;
    const isAboveThreshold =
      failures > this.recentResults.length * FAILURE_THRESHOLD;
    if (this.recentResults.length < MIN_WINDOW_REQUESTS || !isAboveThreshold)
      return;
    this.rolledBackAtMs ??= nowMs;
    this.state ??= MoveState.RolledBack;
  }
}
