import type { Clock, KeyValue, Lease } from '../ports/index.js';
import { PlatformError } from '../ports/index.js';

export interface LeaseKeeperOptions {
  /** Name of the lease in the key-value service. */
  readonly name: string;
  /** Name of this holder, unique among processes and their restarts. */
  readonly holder: string;
  /** Time from the call of a grant to its expiry. */
  readonly grantMs: number;
  /** Time before the expiry from which the lease is no longer used here. */
  readonly marginMs: number;
}

const CALL_TIMEOUT_MS = 1_000;

/**
 * Takes and renews one lease. The stored expiry counts from before the call
 * was sent, and a margin ends the lease here before another can hold it.
 * A lease is a hint of who should act; writes are guarded by compare-and-swap.
 */
export class LeaseKeeper {
  private lease: Lease | undefined;

  constructor(
    private readonly keyValue: KeyValue,
    private readonly clock: Clock,
    private readonly options: LeaseKeeperOptions,
  ) {}

  /** The lease while it may be acted on, by this process's clock. */
  current(): Lease | undefined {
    const { lease } = this;
    if (lease === undefined) return undefined;
    const usableUntilMs = lease.expiresAtMs - this.options.marginMs;
    return this.clock.nowMs() < usableUntilMs ? lease : undefined;
  }

  /** Time at which `renew` should be called next. */
  nextRenewalAtMs(): number {
    const nowMs = this.clock.nowMs();
    const { grantMs } = this.options;
    if (this.current() === undefined) return nowMs + grantMs / 4;
    return Math.max(nowMs, (this.lease?.expiresAtMs ?? nowMs) - grantMs / 2);
  }

  /**
   * Takes the lease or prolongs it. False where another holds it or the
   * key-value service gives no answer; a lease held before stays until its end.
   */
  async renew(): Promise<boolean> {
    const nowMs = this.clock.nowMs();
    const { grantMs, holder, name } = this.options;
    try {
      const lease = await this.keyValue.acquireLease({
        name,
        holder,
        expiresAtMs: nowMs + grantMs,
        deadlineAtMs: nowMs + CALL_TIMEOUT_MS,
      });
      this.lease = lease;
      return lease !== undefined;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return false;
    }
  }

  /** No longer uses the lease, and takes a new one at the next renewal. */
  forget(): void {
    this.lease = undefined;
  }

  /** Gives the lease back, so that another can take it at once. */
  async release(): Promise<void> {
    const { lease } = this;
    this.lease = undefined;
    if (lease === undefined) return;
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    try {
      await this.keyValue.releaseLease(lease, deadlineAtMs);
    } catch (error) {
      // The lease then ends by its stored expiry.
      if (!(error instanceof PlatformError)) throw error;
    }
  }
}
