import type { Random } from '../ports/index.js';
import type { RetryBudget } from './retry-budget.js';

/** An attempt that failed, and what is left to the request. */
export interface FailedAttempt {
  /** Whether the work may run more than once, or is known not to have run. */
  readonly mayRepeat: boolean;
  /** Attempts made so far, this one included. */
  readonly attempts: number;
  readonly deadlineAtMs: number;
}

export enum RetryAction {
  Retry = 'retry',
  GiveUp = 'giveUp',
}

export enum GiveUpReason {
  NotRepeatable = 'notRepeatable',
  TooManyAttempts = 'tooManyAttempts',
  DeadlineTooClose = 'deadlineTooClose',
  BudgetSpent = 'budgetSpent',
}

/** Retry at a time, on a new connection, or give up at once. */
export type RetryDecision =
  | { readonly action: RetryAction.Retry; readonly retryAtMs: number }
  | { readonly action: RetryAction.GiveUp; readonly reason: GiveUpReason };

/** Decides what follows a failed attempt. */
export interface RetryPolicy {
  /** Must be called once for each request, before its first attempt. */
  recordFirstAttempt(): void;
  decide(failed: FailedAttempt, nowMs: number): RetryDecision;
}

export interface BackoffOptions {
  readonly maxAttempts: number;
  readonly firstBackoffMs: number;
  readonly maxBackoffMs: number;
}

export const DEFAULT_BACKOFF: BackoffOptions = {
  maxAttempts: 3,
  firstBackoffMs: 25,
  maxBackoffMs: 1_000,
};

/**
 * Retries under a budget after an exponential backoff with full jitter
 * (Brooker, "Exponential Backoff And Jitter", 2015).
 */
export class BudgetedRetryPolicy implements RetryPolicy {
  constructor(
    private readonly budget: RetryBudget,
    private readonly random: Random,
    private readonly options = DEFAULT_BACKOFF,
  ) {}

  recordFirstAttempt(): void {
    this.budget.recordFirstAttempt();
  }

  decide(failed: FailedAttempt, nowMs: number): RetryDecision {
    if (!failed.mayRepeat) return giveUp(GiveUpReason.NotRepeatable);
    if (failed.attempts >= this.options.maxAttempts) {
      return giveUp(GiveUpReason.TooManyAttempts);
    }
    const retryAtMs = nowMs + this.backoffMs(failed.attempts);
    if (retryAtMs >= failed.deadlineAtMs) {
      return giveUp(GiveUpReason.DeadlineTooClose);
    }
    if (!this.budget.tryTake()) return giveUp(GiveUpReason.BudgetSpent);
    return { action: RetryAction.Retry, retryAtMs };
  }

  private backoffMs(attempts: number): number {
    const { firstBackoffMs, maxBackoffMs } = this.options;
    const ceilingMs = firstBackoffMs * 2 ** (attempts - 1);
    return this.random.nextFloat() * Math.min(maxBackoffMs, ceilingMs);
  }
}

function giveUp(reason: GiveUpReason): RetryDecision {
  return { action: RetryAction.GiveUp, reason };
}
