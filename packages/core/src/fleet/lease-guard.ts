import type { LeaseKeeper } from '../leases/index.js';
import type { Clock, Lease } from '../ports/index.js';

export interface LeaseGuardOptions {
  /** Duration of a lease; an earlier holder's lease expires at the latest this long after the new lease starts. */
  readonly grantMs: number;
  /** Time before the expiry of the lease by which every call must have ended. */
  readonly marginMs: number;
  /** Timeout of one call. */
  readonly callTimeoutMs: number;
}

/**
 * Limits calls to the time in which the lease is held: the deadline of a call
 * precedes the expiry of the lease. No call of an earlier holder takes effect
 * after `earlierCallsEndAtMs`, because that holder last renewed its lease
 * before this one was granted.
 */
export class LeaseGuard {
  private fencingNumber: number | undefined;
  private earlierCallsEndMs = 0;

  constructor(
    private readonly keeper: LeaseKeeper,
    private readonly clock: Clock,
    private readonly options: LeaseGuardOptions,
  ) {}

  /** Returns the lease if it is held now, and records the start of a new one. */
  current(): Lease | undefined {
    const lease = this.keeper.current();
    if (lease !== undefined && lease.fencingNumber !== this.fencingNumber) {
      this.fencingNumber = lease.fencingNumber;
      this.earlierCallsEndMs = this.clock.nowMs() + this.options.grantMs;
    }
    return lease;
  }

  /** Returns the time from which no call of an earlier holder can take effect. */
  earlierCallsEndAtMs(): number {
    this.current();
    return this.earlierCallsEndMs;
  }

  /** Returns the deadline of a call made now; it precedes the expiry of the lease. */
  callDeadlineMs(): number {
    const nowMs = this.clock.nowMs();
    const { callTimeoutMs, marginMs } = this.options;
    const endMs = (this.current()?.expiresAtMs ?? nowMs) - marginMs;
    return Math.min(nowMs + callTimeoutMs, endMs);
  }
}
