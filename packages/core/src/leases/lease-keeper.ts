import type { Clock, KeyValueStore, Lease } from '../ports/index.js';
import { PlatformError } from '../ports/index.js';

export interface LeaseKeeperOptions {
  /** Name of the lease in the key-value service. */
  readonly name: string;
  /** Name of this holder, unique among processes and across their restarts. */
  readonly holder: string;
  /** Time to live of the lease, counted from the start of the call that acquires or renews it. */
  readonly grantMs: number;
  /** Time before the expiry at which this process stops using the lease. */
  readonly marginMs: number;
}

const CALL_TIMEOUT_MS = 1_000;

/**
 * Acquires, renews and releases one lease. The stored expiry is computed from
 * the time before the call is sent, and this process stops using the lease a
 * margin before that expiry, so that another process cannot hold it at the
 * same time. A lease is only a hint of who should act: writes are guarded by
 * compare-and-swap.
 */
export class LeaseKeeper {
  private lease: Lease | undefined;
  /** Number of times that the lease was given up; a call from before the last one is not used. */
  private generation = 0;

  constructor(
    private readonly keyValue: KeyValueStore,
    private readonly clock: Clock,
    private readonly options: LeaseKeeperOptions,
  ) {}

  /** Returns the lease, or undefined once its margin has begun by this process's clock. */
  current(): Lease | undefined {
    const { lease } = this;
    if (lease === undefined) return undefined;
    const usableUntilMs = lease.expiresAtMs - this.options.marginMs;
    return this.clock.nowMs() < usableUntilMs ? lease : undefined;
  }

  /** Returns the time at which to call `renew` next. */
  nextRenewalAtMs(): number {
    const nowMs = this.clock.nowMs();
    const { grantMs } = this.options;
    if (this.current() === undefined) return nowMs + grantMs / 4;
    return Math.max(nowMs, (this.lease?.expiresAtMs ?? nowMs) - grantMs / 2);
  }

  /**
   * Acquires the lease or extends it. Returns false where another process
   * holds it or the key-value service does not answer; in the latter case a
   * lease acquired earlier stays usable until it expires. Returns false too where
   * the lease was given up during the call, and gives back what the call acquired.
   */
  async renew(): Promise<boolean> {
    const nowMs = this.clock.nowMs();
    const { grantMs, holder, name } = this.options;
    const { generation } = this;
    try {
      const lease = await this.keyValue.acquireLease({
        name,
        holder,
        expiresAtMs: nowMs + grantMs,
        deadlineAtMs: nowMs + CALL_TIMEOUT_MS,
      });
      if (generation !== this.generation) {
        await this.giveBack(lease);
        return false;
      }
      this.lease = lease;
      return lease !== undefined;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return false;
    }
  }

  /** Stops using the lease without releasing it in the key-value service; `renew` acquires it anew. */
  discard(): void {
    this.lease = undefined;
    this.generation += 1;
  }

  /** Releases the lease, so that another process can acquire it at once. */
  async release(): Promise<void> {
    const { lease } = this;
    this.discard();
    await this.giveBack(lease);
  }

  private async giveBack(lease: Lease | undefined): Promise<void> {
    if (lease === undefined) return;
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    try {
      await this.keyValue.releaseLease(lease, deadlineAtMs);
    } catch (error) {
      // A lease that could not be released ends at its stored expiry.
      if (!(error instanceof PlatformError)) throw error;
    }
  }
}
