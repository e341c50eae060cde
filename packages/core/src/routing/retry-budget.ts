export interface RetryBudgetOptions {
  /** Number of retries and hedges that each first attempt adds to the budget, at most 1. */
  readonly share: number;
  /** Maximum number of retries and hedges that the budget can hold. */
  readonly maxSaved: number;
  /** Number of retries and hedges that a new budget holds, 0 by default. */
  readonly initialSaved?: number;
}

export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  share: 0.1,
  maxSaved: 10,
};

/**
 * Token bucket that limits retries and hedges to a share of first attempts, so
 * that they cannot multiply the load of failing endpoints.
 */
export class RetryBudget {
  private balance: number;

  constructor(private readonly options = DEFAULT_RETRY_BUDGET) {
    this.balance = options.initialSaved ?? 0;
  }

  recordFirstAttempt(): void {
    const { maxSaved, share } = this.options;
    this.balance = Math.min(maxSaved, this.balance + share);
  }

  /** Acquires one retry or hedge from the budget; returns false if the budget is exhausted. */
  tryTake(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
