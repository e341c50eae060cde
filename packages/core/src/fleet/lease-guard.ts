import type { LeaseKeeper } from '../leases/index.js';
import type { Clock, Lease } from '../ports/index.js';

export interface LeaseGuardOptions {
  /** Longest time that an earlier holder's lease can still run when this one starts. */
  readonly grantMs: number;
  /** Time before the end of the lease by which every call has ended. */
  readonly marginMs: number;
  /** Longest time of one call. */
  readonly callTimeoutMs: number;
}

/**
 * Decides whether a call may be made under the lease. Every call ends before
 * the lease does. No call of an earlier holder takes effect after
 * `settledAtMs`: its lease was renewed last before this one was granted.
 */
export class LeaseGuard {
  private fencingNumber: number | undefined;
  private settledMs = 0;

  constructor(
    private readonly keeper: LeaseKeeper,
    private readonly clock: Clock,
    private readonly options: LeaseGuardOptions,
  ) {}

  /** The lease, where it can be acted on at this moment. */
  current(): Lease | undefined {
    const lease = this.keeper.current();
    if (lease !== undefined && lease.fencingNumber !== this.fencingNumber) {
      this.fencingNumber = lease.fencingNumber;
      this.settledMs = this.clock.nowMs() + this.options.grantMs;
    }
    return lease;
  }

  /** Time from which no call of an earlier holder can take effect. */
  settledAtMs(): number {
    this.current();
    return this.settledMs;
  }

  /** Deadline of a call made now; it ends before the lease does. */
  callDeadlineMs(): number {
    const nowMs = this.clock.nowMs();
    const { callTimeoutMs, marginMs } = this.options;
    const endMs = (this.current()?.expiresAtMs ?? nowMs) - marginMs;
    return Math.min(nowMs + callTimeoutMs, endMs);
  }
}
