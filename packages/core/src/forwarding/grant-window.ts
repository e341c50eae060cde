const BIN_MS = 25;
const BINS = 400;

/** Time for which grants are kept one by one. */
export const HORIZON_MS = BINS * BIN_MS;

/** Cap, as time of the refill, on the debt that is kept past the horizon: some of it is news charged to too short a time. */
const MAX_DEBT_MS = 3_000;
/** Share of the size that the cap leaves at least. */
const MIN_DEBT_SHARE = 0.25; // above the overdraft of small requests

/** Tokens of one request in a window. */
export interface WindowCharge {
  readonly tokens: number;
  readonly bin: number;
  /** Number of times that the window had been cleared by then. */
  readonly clearings: number;
}

/** Size and refill of a token bucket. */
export interface BucketLimit {
  readonly maxTokens: number;
  readonly refillPerMs: number;
}

/**
 * Grants of the last seconds by the time at which they were made. The balance of
 * a token bucket follows from them also where a part becomes known late: what a
 * bucket that was full could not have refilled is not lost.
 */
export class GrantWindow {
  private readonly bins = new Float64Array(BINS);
  /** Tokens that the bucket lacked at the horizon, which is the start of the oldest bin. */
  private lackingTokens = 0;
  private newestBin: number;
  private clearings = 0;

  constructor(
    private limit: BucketLimit,
    nowMs: number,
  ) {
    this.newestBin = binOf(nowMs);
  }

  /**
   * Sets the limit from now on. What was granted under a higher one leaves no debt,
   * but the tokens left stay as they are.
   */
  changeLimit(limit: BucketLimit, nowMs: number): void {
    const isLower =
      limit.maxTokens < this.limit.maxTokens ||
      limit.refillPerMs < this.limit.refillPerMs;
    if (isLower) {
      const left = Math.max(0, this.balance(nowMs));
      this.bins.fill(0);
      this.clearings += 1;
      this.lackingTokens = 0;
      this.add(Math.max(0, limit.maxTokens - left), nowMs, nowMs);
    }
    this.limit = limit;
  }

  /** Adds tokens that were granted evenly between two times; those before the horizon no longer count. */
  add(tokens: number, fromMs: number, toMs: number): void {
    this.advance(toMs);
    const last = binOf(toMs);
    const first = Math.min(last, Math.max(binOf(fromMs), 0));
    const share = tokens / (last - first + 1);
    const oldest = this.newestBin - BINS + 1;
    for (let bin = Math.max(first, oldest); bin <= last; bin += 1)
      this.bins[bin % BINS] = this.at(bin) + share;
  }

  /** Adds the tokens of one request, which may be removed again. */
  charge(tokens: number, nowMs: number): WindowCharge {
    this.add(tokens, nowMs, nowMs);
    return { tokens, bin: binOf(nowMs), clearings: this.clearings };
  }

  /** Whether a charge is in the newest bin. */
  isCurrent({ bin, clearings }: WindowCharge, nowMs: number): boolean {
    return bin === binOf(nowMs) && clearings === this.clearings;
  }

  /** Removes a charge; returns false if it no longer counts by itself, past the horizon or as the limit was lowered since. */
  remove({ bin, clearings, tokens }: WindowCharge, nowMs: number): boolean {
    this.advance(nowMs);
    const isHeld = clearings === this.clearings && bin > this.newestBin - BINS;
    if (isHeld) this.bins[indexOf(bin)] = Math.max(0, this.at(bin) - tokens);
    return isHeld;
  }

  /** Adds a charge again that was removed at the same time. */
  restore({ bin, tokens }: WindowCharge): void {
    this.bins[indexOf(bin)] = this.at(bin) + tokens;
  }

  /** Returns the tokens granted since the horizon. */
  grantedTokens(nowMs: number): number {
    this.advance(nowMs);
    return this.bins.reduce((sum, tokens) => sum + tokens, 0);
  }

  /** Returns the tokens left in the bucket. */
  balance(nowMs: number): number {
    this.advance(nowMs);
    const { maxTokens, refillPerMs } = this.limit;
    let granted = 0;
    let balance = maxTokens;
    let index = indexOf(this.newestBin);
    for (let bin = this.newestBin; bin > this.newestBin - BINS; bin -= 1) {
      const tokens = this.bins[index] ?? 0;
      index = index === 0 ? BINS - 1 : index - 1;
      if (tokens === 0) continue;
      granted += tokens;
      const refilled = refillPerMs * Math.max(0, nowMs - bin * BIN_MS);
      balance = Math.min(balance, maxTokens + refilled - granted);
    }
    const horizonMs = (this.newestBin - BINS + 1) * BIN_MS;
    const refilled = refillPerMs * (nowMs - horizonMs);
    const sinceHorizon = maxTokens - this.lackingTokens + refilled - granted;
    return Math.min(balance, sinceHorizon);
  }

  private at(bin: number): number {
    return this.bins[indexOf(bin)] ?? 0;
  }

  private advance(nowMs: number): void {
    const newest = binOf(nowMs);
    const lastMoved = Math.min(newest, this.newestBin + BINS);
    for (let bin = this.newestBin + 1; bin <= lastMoved; bin += 1) {
      this.passHorizon(this.at(bin), 1);
      this.bins[bin % BINS] = 0;
    }
    if (newest > lastMoved) this.passHorizon(0, newest - lastMoved);
    this.newestBin = Math.max(this.newestBin, newest);
  }

  /** Moves the horizon past grants. */
  private passHorizon(tokens: number, bins: number): void {
    const { maxTokens, refillPerMs } = this.limit;
    const refilled = refillPerMs * bins * BIN_MS;
    const lacking = Math.max(0, this.lackingTokens + tokens - refilled);
    const maxDebt = Math.max(
      refillPerMs * MAX_DEBT_MS,
      maxTokens * MIN_DEBT_SHARE,
    );
    this.lackingTokens = Math.min(lacking, maxTokens + maxDebt);
  }
}

function indexOf(bin: number): number {
  return ((bin % BINS) + BINS) % BINS;
}

function binOf(atMs: number): number {
  return Math.floor(atMs / BIN_MS);
}
