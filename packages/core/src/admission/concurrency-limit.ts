export interface ConcurrencyOptions {
  /** Initial limit of requests in flight. */
  readonly initial: number;
  readonly min: number;
  readonly max: number;
  /** Reported wait at the endpoints above which the limit is decreased. */
  readonly targetWaitMs: number;
  readonly adjustIntervalMs: number;
}

export const DEFAULT_CONCURRENCY: ConcurrencyOptions = {
  initial: 8,
  min: 4,
  max: 1_024,
  targetWaitMs: 400,
  adjustIntervalMs: 500,
};

const MIN_DECREASE_FACTOR = 0.5;
const MAX_DECREASE_FACTOR = 0.95;
/** Ratio to the previous wait below which the wait counts as falling. */
const FALLING_WAIT_RATIO = 0.95;
/** Share of the limit that each increase adds in addition to 1. */
const PROPORTIONAL_INCREASE = 0.1;

/**
 * Limit of requests in flight to one endpoint group, adjusted by additive
 * increase and multiplicative decrease (AIMD) on the wait at its endpoints (Chiu
 * and Jain, 1989). Daemons that see the same wait converge to equal limits
 * without communicating.
 */
export class ConcurrencyLimit {
  private limit: number;
  private nextAdjustAtMs = 0;
  private lastWaitMs = 0;

  constructor(private readonly options = DEFAULT_CONCURRENCY) {
    this.limit = options.initial;
  }

  get current(): number {
    return Math.floor(this.limit);
  }

  /**
   * Adjusts the limit at most once per interval and returns whether it was due.
   * The limit is decreased while the wait is above its target, unless the wait is
   * already falling, because reports are delayed.
   */
  adjust(
    waitMs: number,
    inFlight: number,
    queued: number,
    nowMs: number,
  ): boolean {
    const { adjustIntervalMs, max, min, targetWaitMs } = this.options;
    if (nowMs < this.nextAdjustAtMs) return false;
    this.nextAdjustAtMs = nowMs + adjustIntervalMs;
    const isFalling = waitMs < this.lastWaitMs * FALLING_WAIT_RATIO;
    this.lastWaitMs = waitMs;
    if (waitMs <= targetWaitMs) {
      const increased = this.limit + 1 + this.limit * PROPORTIONAL_INCREASE;
      if (queued > 0) this.limit = Math.min(max, increased);
    } else if (!isFalling) {
      const usedLimit = Math.min(this.limit, inFlight + 1);
      const factor = decreaseFactor(targetWaitMs, waitMs);
      this.limit = Math.max(min, usedLimit * factor);
    }
    return true;
  }
}

function decreaseFactor(targetWaitMs: number, waitMs: number): number {
  const factor = Math.sqrt(targetWaitMs / waitMs);
  return Math.min(MAX_DECREASE_FACTOR, Math.max(MIN_DECREASE_FACTOR, factor));
}
