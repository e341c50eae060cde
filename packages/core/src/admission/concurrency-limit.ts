export interface ConcurrencyOptions {
  readonly first: number;
  readonly min: number;
  readonly max: number;
  /** Wait at the endpoints above which the limit falls. */
  readonly targetWaitMs: number;
  readonly adjustIntervalMs: number;
}

export const DEFAULT_CONCURRENCY: ConcurrencyOptions = {
  first: 8,
  min: 4,
  max: 1_024,
  targetWaitMs: 400,
  adjustIntervalMs: 500,
};

const MIN_DECREASE_FACTOR = 0.5;
const MAX_DECREASE_FACTOR = 0.95;
/** Share of the last wait below which a wait counts as falling. */
const FALLING_SHARE = 0.95;
const INCREASE_SHARE = 0.1;

/**
 * Limit of requests in flight to one group, by additive increase and
 * multiplicative decrease on the wait at its endpoints (Chiu and Jain, 1989).
 * Daemons that see the same wait move towards equal limits without talking.
 */
export class ConcurrencyLimit {
  private limit: number;
  private nextAdjustAtMs = 0;
  private lastWaitMs = 0;

  constructor(private readonly options = DEFAULT_CONCURRENCY) {
    this.limit = options.first;
  }

  get current(): number {
    return Math.floor(this.limit);
  }

  /**
   * Adjusts the limit once in each interval. It falls while the wait is
   * above its target and not falling by itself, since reports lag. Returns whether it was time to adjust.
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
    const isFalling = waitMs < this.lastWaitMs * FALLING_SHARE;
    this.lastWaitMs = waitMs;
    if (waitMs <= targetWaitMs) {
      const increased = this.limit + 1 + this.limit * INCREASE_SHARE;
      if (queued > 0) this.limit = Math.min(max, increased);
    } else if (!isFalling) {
      const used = Math.min(this.limit, inFlight + 1);
      const factor = decreaseFactor(targetWaitMs, waitMs);
      this.limit = Math.max(min, used * factor);
    }
    return true;
  }
}

function decreaseFactor(targetWaitMs: number, waitMs: number): number {
  const factor = Math.sqrt(targetWaitMs / waitMs);
  return Math.min(MAX_DECREASE_FACTOR, Math.max(MIN_DECREASE_FACTOR, factor));
}
