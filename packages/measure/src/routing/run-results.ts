import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';

import type { Workspace } from '@skylarkreach/core/ports';
import { Priority } from '@skylarkreach/core/ports';

import type { PrefillTotals } from './engine-model.js';
import type { WorkItem } from './workload.js';

const MICROS_PER_MS = 1_000;

interface WorkspaceResults {
  requests: number;
  finished: number;
  /** Sum of the times to first token, in milliseconds. */
  firstTokenMs: number;
}

/** Results of one simulation run. The histograms record times in microseconds. */
export class RunResults {
  requests = 0;
  refusals = 0;
  dispatches = 0;
  finished = 0;
  /** Prompt and output tokens of requests that finished within the measurement window and by their deadline. */
  usefulTokens = 0;
  /** Longest time from arrival to a refusal, in milliseconds. */
  maxRefusalMs = 0;
  private readonly firstTokenTimes = createHistogram();
  private readonly tokenGaps = createHistogram();
  private readonly lookupDurations = createHistogram();
  private readonly resultsByWorkspace = new Map<Workspace, WorkspaceResults>();

  /** Excludes requests that arrive before `measuredFromMs`. */
  constructor(
    private readonly prefillTotals: PrefillTotals,
    private readonly measuredFromMs: number,
    private readonly measuredToMs: number,
  ) {}

  get recomputedTokens(): number {
    return this.prefillTotals.recomputedTokens;
  }

  get prefilledTokens(): number {
    return this.prefillTotals.prefilledTokens;
  }

  get firstTokenP95Ms(): number {
    return p95Ms(this.firstTokenTimes);
  }

  get tokenGapP95Ms(): number {
    return p95Ms(this.tokenGaps);
  }

  /** 95th percentile of the time from arrival to the complete answer, over look-ups that finished by their deadline. */
  get lookupP95Ms(): number {
    return p95Ms(this.lookupDurations);
  }

  /** Jain's fairness index of the mean time to first token, across workspaces. */
  get firstTokenFairness(): number {
    return jainIndex(
      this.workspaceResults().map(
        workspace => workspace.firstTokenMs / workspace.requests,
      ),
    );
  }

  /** Jain's fairness index of the fraction of requests that finished, across workspaces. */
  get finishedFairness(): number {
    return jainIndex(
      this.workspaceResults().map(
        workspace => workspace.finished / workspace.requests,
      ),
    );
  }

  recordArrival(item: WorkItem): void {
    if (item.arrivesAtMs < this.measuredFromMs) return;
    this.requests += 1;
    this.workspaceResultsOf(item).requests += 1;
  }

  recordDispatch(item: WorkItem): void {
    if (item.arrivesAtMs >= this.measuredFromMs) this.dispatches += 1;
  }

  recordRefusal(item: WorkItem, nowMs: number): void {
    if (item.arrivesAtMs < this.measuredFromMs) return;
    this.refusals += 1;
    this.maxRefusalMs = Math.max(this.maxRefusalMs, nowMs - item.arrivesAtMs);
  }

  recordFirstToken(item: WorkItem, nowMs: number): void {
    if (item.arrivesAtMs < this.measuredFromMs) return;
    const elapsedMs = nowMs - item.arrivesAtMs;
    recordDuration(this.firstTokenTimes, elapsedMs);
    this.workspaceResultsOf(item).firstTokenMs += elapsedMs;
  }

  recordTokenGap(gapMs: number): void {
    recordDuration(this.tokenGaps, gapMs);
  }

  recordFinish(item: WorkItem, nowMs: number): void {
    const isMeasured =
      nowMs >= this.measuredFromMs && nowMs <= this.measuredToMs;
    if (isMeasured && nowMs <= item.deadlineAtMs) {
      this.usefulTokens += item.promptTokens + item.outputTokens;
    }
    if (item.arrivesAtMs < this.measuredFromMs) return;
    if (nowMs > item.deadlineAtMs) return;
    this.finished += 1;
    this.workspaceResultsOf(item).finished += 1;
    if (item.priority === Priority.Lookup) {
      recordDuration(this.lookupDurations, nowMs - item.arrivesAtMs);
    }
  }

  private workspaceResults(): readonly WorkspaceResults[] {
    return [...this.resultsByWorkspace.values()];
  }

  private workspaceResultsOf(item: WorkItem): WorkspaceResults {
    let results = this.resultsByWorkspace.get(item.workspace);
    if (results === undefined) {
      results = { requests: 0, finished: 0, firstTokenMs: 0 };
      this.resultsByWorkspace.set(item.workspace, results);
    }
    return results;
  }
}

/** Returns Jain's fairness index: 1 if all values are equal, 1/n if a single value is non-zero. */
export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

function createHistogram(): Histogram {
  return build({
    numberOfSignificantValueDigits: 3,
    highestTrackableValue: 600_000_000,
  });
}

function recordDuration(target: Histogram, elapsedMs: number): void {
  target.recordValue(Math.max(0, Math.round(elapsedMs * MICROS_PER_MS)));
}

function p95Ms(source: Histogram): number {
  return source.getValueAtPercentile(95) / MICROS_PER_MS;
}
