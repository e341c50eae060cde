import { Priority } from '../ports/index.js';
import type { RetryBudget } from './retry-budget.js';

const MAX_SAMPLES = 128;
/** Number of latencies below which no request is hedged. */
const MIN_SAMPLES = 20;
const HEDGE_QUANTILE = 0.95;
const MIN_HEDGE_DELAY_MS = 5;

/** Properties of a request that decide whether it may be hedged. */
export interface HedgeCandidate {
  readonly priority: Priority;
  /** Whether the request may run more than once. */
  readonly mayRepeat: boolean;
  readonly deadlineAtMs: number;
}

/** Policy that decides whether and when an unanswered request is also sent to a second endpoint. */
export interface HedgePolicy {
  /** Returns the time at which to hedge; undefined if the request must not be hedged. */
  hedgeAtMs(candidate: HedgeCandidate, nowMs: number): number | undefined;
  /** Acquires one hedge from the budget; returns false if the budget is exhausted. */
  tryAcquire(): boolean;
  /** Records the latency of an answered request. */
  recordLatency(elapsedMs: number): void;
}

/**
 * Hedge policy for repeatable look-ups that take longer than the 95th percentile
 * of recent latencies (Dean and Barroso, "The Tail at Scale", 2013). Hedges
 * share a budget with retries.
 */
export class LookupHedgePolicy implements HedgePolicy {
  private readonly latenciesMs: number[] = [];
  private nextSampleIndex = 0;

  constructor(private readonly budget: RetryBudget) {}

  hedgeAtMs(candidate: HedgeCandidate, nowMs: number): number | undefined {
    if (!candidate.mayRepeat) return undefined;
    if (candidate.priority !== Priority.Lookup) return undefined;
    if (this.latenciesMs.length < MIN_SAMPLES) return undefined;
    const hedgeAtMs =
      nowMs + Math.max(MIN_HEDGE_DELAY_MS, this.latencyQuantileMs());
    return hedgeAtMs < candidate.deadlineAtMs ? hedgeAtMs : undefined;
  }

  tryAcquire(): boolean {
    return this.budget.tryAcquire();
  }

  recordLatency(elapsedMs: number): void {
    this.latenciesMs[this.nextSampleIndex] = elapsedMs;
    this.nextSampleIndex = (this.nextSampleIndex + 1) % MAX_SAMPLES;
  }

  private latencyQuantileMs(): number {
    const sorted = [...this.latenciesMs].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length * HEDGE_QUANTILE)] ?? 0;
  }
}
