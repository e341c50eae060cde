import type { MoveSpec, RequestResult } from '@skylarkreach/core/moves';
import { MoveState } from '@skylarkreach/core/moves';

import type { ShareSource } from './simulate-move.js';

/** Shares of the fixed steps, each for an equal part of the time. */
const FIXED_SHARES = [0.05, 0.25, 0.5, 0.9];
const WINDOW_MS = 30_000;
const MIN_WINDOW_REQUESTS = 20;
const FAILURE_THRESHOLD = 0.05;

interface TimedResult {
  readonly atMs: number;
  readonly failed: boolean;
}

/** Steps by the clock alone and never looks at evidence. */
export function fixedStepSource(spec: MoveSpec): ShareSource {
  return new ClockSource(spec, false);
}

/** Steps by the clock and takes back where recent failures pass a threshold. */
export function thresholdSource(spec: MoveSpec): ShareSource {
  return new ClockSource(spec, true);
}

/** Baseline with perfect knowledge of all daemons and no faults of the platform. */
class ClockSource implements ShareSource {
  private takenBackAtMs: number | undefined;
  private state: MoveState | undefined;
  private recent: TimedResult[] = [];
  private nowMs: number;

  constructor(
    private readonly spec: MoveSpec,
    private readonly usesThreshold: boolean,
  ) {
    this.nowMs = spec.startedAtMs;
  }

  share(_index: number, _kind: string, nowMs: number): number {
    if (this.takenBackAtMs !== undefined) return 0;
    const { deadlineAtMs, startedAtMs } = this.spec;
    const part = (nowMs - startedAtMs) / (deadlineAtMs - startedAtMs);
    return FIXED_SHARES[Math.floor(part * FIXED_SHARES.length)] ?? 1;
  }

  record(_index: number, result: RequestResult): void {
    if (!result.isNewVersion) return;
    this.recent.push({ atMs: this.nowMs, failed: result.failed });
  }

  step(nowMs: number): void {
    this.nowMs = nowMs;
    if (this.usesThreshold) this.checkThreshold(nowMs);
    if (nowMs < this.spec.deadlineAtMs) return;
    this.state ??= MoveState.Done;
  }

  serves(): boolean {
    return true;
  }

  brakeAtMs(): number | undefined {
    return this.takenBackAtMs;
  }

  settledState(): MoveState | undefined {
    return this.state;
  }

  finalReport() {
    return { unreported: false, conflicting: false, late: false };
  }

  private checkThreshold(nowMs: number): void {
    this.recent = this.recent.filter(each => each.atMs > nowMs - WINDOW_MS);
    const failures = this.recent.filter(each => each.failed).length;
    const isBad = failures > this.recent.length * FAILURE_THRESHOLD;
    if (this.recent.length < MIN_WINDOW_REQUESTS || !isBad) return;
    this.takenBackAtMs ??= nowMs;
    this.state ??= MoveState.RolledBack;
  }
}
