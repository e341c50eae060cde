/** Limit on retries and hedges. */
export interface RetryAllowance {
  recordFirstAttempt(): void;
  /** Whether one retry or hedge can be acquired. */
  readonly isAvailable: boolean;
  /** Acquires one retry or hedge; returns false if none can be. */
  tryAcquire(): boolean;
}

export interface RetryBudgetOptions {
  /** Number of retries and hedges that each first attempt adds to the budget, at most 1. */
  readonly refillPerFirstAttempt: number;
  /** Maximum number of retries and hedges that the budget can hold. */
  readonly capacity: number;
  /** Number of retries and hedges that a new budget holds, 0 by default. */
  readonly initialBalance?: number;
}

export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  refillPerFirstAttempt: 0.1,
  capacity: 10,
};

/**
 * Token bucket that limits retries and hedges to a share of first attempts, so
 * that they cannot multiply the load of failing endpoints.
 */
export class RetryBudget implements RetryAllowance {
  private balance: number;

  constructor(private readonly options = DEFAULT_RETRY_BUDGET) {
    this.balance = options.initialBalance ?? 0;
  }

  recordFirstAttempt(): void {
    const { capacity, refillPerFirstAttempt } = this.options;
    this.balance = Math.min(capacity, this.balance + refillPerFirstAttempt);
  }

  get isAvailable(): boolean {
    return this.balance >= 1;
  }

  tryAcquire(): boolean {
    if (!this.isAvailable) return false;
    this.balance -= 1;
    return true;
  }
}
