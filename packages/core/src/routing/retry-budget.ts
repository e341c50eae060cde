export interface RetryBudgetOptions {
  /** Retries and hedges allowed for each first attempt, at most 1. */
  readonly share: number;
  /** Largest number of repeats that can be saved up. */
  readonly maxSaved: number;
  /** Repeats that a new budget holds; none where absent. */
  readonly initialSaved?: number;
}

export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  share: 0.1,
  maxSaved: 10,
};

/**
 * Token bucket that bounds repeats to a share of first attempts, so that
 * retries cannot multiply the load of endpoints that are failing.
 */
export class RetryBudget {
  private saved: number;

  constructor(private readonly options = DEFAULT_RETRY_BUDGET) {
    this.saved = options.initialSaved ?? 0;
  }

  recordFirstAttempt(): void {
    const { maxSaved, share } = this.options;
    this.saved = Math.min(maxSaved, this.saved + share);
  }

  /** Takes one repeat from the budget; false where none is left. */
  tryTake(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
