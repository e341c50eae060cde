import type { Random } from '../ports/index.js';
import type { RetryBudget } from './retry-budget.js';

/** Failed attempt of a request, with the limits that decide whether it may be retried. */
export interface FailedAttempt {
  /** Whether the request may run more than once, or is known not to have run. */
  readonly mayRepeat: boolean;
  /** Number of attempts made so far, including this one. */
  readonly attempts: number;
  readonly deadlineAtMs: number;
}

export enum RetryAction {
  Retry = 'retry',
  GiveUp = 'giveUp',
}

/** Reason why a request is not retried. */
export enum GiveUpReason {
  NotRepeatable = 'notRepeatable',
  TooManyAttempts = 'tooManyAttempts',
  DeadlineTooClose = 'deadlineTooClose',
  BudgetExhausted = 'budgetSpent',
}

/** Decision to retry at a given time on a new connection, or to give up now. */
export type RetryDecision =
  | { readonly action: RetryAction.Retry; readonly retryAtMs: number }
  | { readonly action: RetryAction.GiveUp; readonly reason: GiveUpReason };

/** Policy that decides whether and when a failed attempt is retried. */
export interface RetryPolicy {
  /** Refills the retry budget; must be called once for each request, before its first attempt. */
  recordFirstAttempt(): void;
  decide(failed: FailedAttempt, nowMs: number): RetryDecision;
}

export interface BackoffOptions {
  readonly maxAttempts: number;
  readonly initialBackoffMs: number;
  readonly maxBackoffMs: number;
}

export const DEFAULT_BACKOFF: BackoffOptions = {
  maxAttempts: 3,
  initialBackoffMs: 25,
  maxBackoffMs: 1_000,
};

/**
 * Retry policy with a retry budget and exponential backoff with full jitter
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
    if (!this.budget.tryAcquire()) return giveUp(GiveUpReason.BudgetExhausted);
    return { action: RetryAction.Retry, retryAtMs };
  }

  private backoffMs(attempts: number): number {
    const { initialBackoffMs, maxBackoffMs } = this.options;
    const uncappedMs = initialBackoffMs * 2 ** (attempts - 1);
    return this.random.nextFloat() * Math.min(maxBackoffMs, uncappedMs);
  }
}

function giveUp(reason: GiveUpReason): RetryDecision {
  return { action: RetryAction.GiveUp, reason };
}
