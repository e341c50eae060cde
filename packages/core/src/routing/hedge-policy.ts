import { Priority } from '../ports/index.js';
import type { RetryBudget } from './retry-budget.js';

const SAMPLES = 128;
const MIN_SAMPLES = 20;
const HEDGE_QUANTILE = 0.95;
const MIN_HEDGE_DELAY_MS = 5;

/** A request that might be sent to a second endpoint. */
export interface HedgeCandidate {
  readonly priority: Priority;
  readonly mayRepeat: boolean;
  readonly deadlineAtMs: number;
}

/** Decides whether and when an unanswered attempt is sent to a second endpoint too. */
export interface HedgePolicy {
  /** Time at which to hedge; undefined where the request is not hedged. */
  hedgeAtMs(candidate: HedgeCandidate, nowMs: number): number | undefined;
  /** Takes the hedge from the budget when its time has come. */
  tryTake(): boolean;
  recordLatency(elapsedMs: number): void;
}

/**
 * Hedges repeatable look-ups that take longer than most have of late (Dean and
 * Barroso, "The Tail at Scale", 2013), under the same budget as retries.
 */
export class LookupHedgePolicy implements HedgePolicy {
  private readonly latenciesMs: number[] = [];
  private next = 0;

  constructor(private readonly budget: RetryBudget) {}

  hedgeAtMs(candidate: HedgeCandidate, nowMs: number): number | undefined {
    if (!candidate.mayRepeat) return undefined;
    if (candidate.priority !== Priority.Lookup) return undefined;
    if (this.latenciesMs.length < MIN_SAMPLES) return undefined;
    const hedgeAtMs = nowMs + Math.max(MIN_HEDGE_DELAY_MS, this.quantileMs());
    return hedgeAtMs < candidate.deadlineAtMs ? hedgeAtMs : undefined;
  }

  tryTake(): boolean {
    return this.budget.tryTake();
  }

  recordLatency(elapsedMs: number): void {
    this.latenciesMs[this.next] = elapsedMs;
    this.next = (this.next + 1) % SAMPLES;
  }

  private quantileMs(): number {
    const sorted = [...this.latenciesMs].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length * HEDGE_QUANTILE)] ?? 0;
  }
}
