import type { RetryAllowance } from './retry-budget.js';

export interface RecentRequestsBudgetOptions {
  /** Maximum retries in a window, as a share of the requests. */
  readonly retryShare: number;
  readonly windowMs: number;
  readonly nowMs: () => number;
}

/** Largest number of requests that are remembered; more allow no more retries. */
const MAX_REQUESTS = 100; // enough for a burst of retries, and little to copy

/**
 * Budget in which each retry is paid with requests of the last half window, each of
 * which pays once. Daemons that know nothing of one another, and start again at any
 * time, keep their sum within a share of the requests in the window or in the one
 * half a window before it, whichever has more: the two hold all requests that pay
 * for the retries of the window, so one of them holds at least half.
 */
export class RecentRequestsBudget implements RetryAllowance {
  private requestsAtMs: readonly number[] = [];

  constructor(private readonly options: RecentRequestsBudgetOptions) {}

  recordFirstAttempt(): void {
    this.requestsAtMs = [...this.recent(), this.options.nowMs()].slice(
      -MAX_REQUESTS,
    );
  }

  get isAvailable(): boolean {
    return this.recent().length >= this.requestsPerRetry();
  }

  tryAcquire(): boolean {
    if (!this.isAvailable) return false;
    this.requestsAtMs = this.recent().slice(this.requestsPerRetry());
    return true;
  }

  private requestsPerRetry(): number {
    return Math.ceil(2 / this.options.retryShare);
  }

  private recent(): readonly number[] {
    const { nowMs, windowMs } = this.options;
    const sinceMs = nowMs() - windowMs / 2;
    return this.requestsAtMs.filter(atMs => atMs > sinceMs);
  }
}
