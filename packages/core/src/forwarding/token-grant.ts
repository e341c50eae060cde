import type { WindowCharge } from './grant-window.js';
import type { TokenBucket } from './token-bucket.js';
import { lateWaitMs, MAX_WRITE_DELAY_MS, waitMsAt } from './token-bucket.js';

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
    private readonly grantedAtMs: number,
  ) {
    this.charge = bucket.window.charge(tokens, grantedAtMs);
    bucket.ownGranted.add(tokens, grantedAtMs);
    bucket.granted += tokens;
  }

  /** Returns the milliseconds after which the request may be written; undefined if it may be now. */
  waitMs(nowMs: number): number | undefined {
    if (this.hasWritten || this.isCurrent(nowMs)) return undefined;
    const isLate = nowMs - this.grantedAtMs > MAX_WRITE_DELAY_MS;
    const lateMs = isLate
      ? lateWaitMs(this.bucket, this.tokens, nowMs)
      : undefined;
    const movedMs = this.movedWaitMs(nowMs);
    return lateMs === undefined || movedMs === undefined
      ? (lateMs ?? movedMs)
      : Math.max(lateMs, movedMs);
  }

  /** Charges the tokens for the time at which the request is written first; further attempts use none. */
  recordWrite(nowMs: number): void {
    if (this.hasWritten) return;
    this.hasWritten = true;
    const { bucket, tokens } = this;
    bucket.ownWritten.add(tokens, nowMs);
    if (this.isCurrent(nowMs)) return;
    this.release(nowMs);
    bucket.window.charge(tokens, nowMs);
  }

  /** Returns the tokens at this daemon if the request was never written, and never will be; its peers were told of them. */
  close(nowMs: number): void {
    if (!this.hasWritten) this.release(nowMs);
  }

  /**
   * Returns the milliseconds after which the tokens may be charged for then; undefined if they may
   * be for now: the bucket still allows it, or it leaves no lower balance than the charge
   * for the time of the admission.
   */
  private movedWaitMs(nowMs: number): number | undefined {
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
