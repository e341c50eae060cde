import type { WindowCharge } from './grant-window.js';
import type { TokenBucket } from './token-bucket.js';
import { waitMsAt } from './token-bucket.js';

/** Differences of balances up to this are due to rounding. */
const ROUNDING_TOKENS = 0.001;

/**
 * Tokens that were deducted for one request. What counts against the rate limit is
 * the time at which the request is written, so they are charged for that time
 * instead of the one at which it was admitted. Meant for daemons whose event loop
 * is late by seconds, so that requests admitted at different times are written together.
 */
export class TokenGrant {
  /** Whether the request was written at least once. */
  hasWritten = false;
  private charge: WindowCharge | undefined;

  constructor(
    private readonly bucket: TokenBucket,
    private readonly tokens: number,
    nowMs: number,
  ) {
    this.charge = bucket.window.charge(tokens, nowMs);
  }

  /**
   * Returns the milliseconds after which the request may be written; undefined if it may be
   * now: the bucket still allows it, or charging it for now leaves no lower balance
   * than the one at which it was admitted.
   */
  waitMs(nowMs: number): number | undefined {
    if (this.hasWritten || this.isCurrent(nowMs)) return undefined;
    const { bucket, tokens } = this;
    const { rate, window } = bucket;
    const { charge } = this;
    const balanceBefore = window.balance(nowMs);
    const isReturned = charge !== undefined && window.remove(charge, nowMs);
    const balance = window.balance(nowMs);
    const moved = window.charge(tokens, nowMs);
    const balanceAfter = window.balance(nowMs);
    window.remove(moved, nowMs);
    if (isReturned) window.restore(charge);
    const isNeutral =
      isReturned && balanceAfter >= balanceBefore - ROUNDING_TOKENS;
    return isNeutral ? undefined : waitMsAt(balance, tokens, rate);
  }

  /** Charges the tokens for the time at which the request is written first; further attempts use none. */
  recordWrite(nowMs: number): void {
    if (this.hasWritten) return;
    this.hasWritten = true;
    const { bucket, tokens } = this;
    bucket.written += tokens;
    if (this.isCurrent(nowMs)) return;
    this.release(nowMs);
    bucket.window.charge(tokens, nowMs);
  }

  /** Returns the tokens if the request was never written, and never will be. */
  close(nowMs: number): void {
    if (!this.hasWritten) this.release(nowMs);
  }

  private isCurrent(nowMs: number): boolean {
    const { bucket, charge } = this;
    return charge !== undefined && bucket.window.isCurrent(charge, nowMs);
  }

  private release(nowMs: number): void {
    if (this.charge !== undefined)
      this.bucket.window.remove(this.charge, nowMs);
    this.charge = undefined;
  }
}
