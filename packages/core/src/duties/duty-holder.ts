import { LeaseKeeper } from '../leases/index.js';
import type { Clock, KeyValueStore, Lease, Log } from '../ports/index.js';
import { LogComponent, noopLog } from '../ports/index.js';
import type { DutyLease, FencingToken } from './duty-api.js';

export interface DutyHolderOptions {
  readonly daemonId: string;
  readonly leaseMs: number;
  /** Whether the whole system starts for the first time, so that no daemon can have held the duties before. */
  readonly isFirstStart: boolean;
}

/** Peer state that decides whether this daemon may try to acquire the lease. */
export interface DutyPeers {
  /** Returns whether another daemon recently reported that it holds the lease. */
  hasHolder(): boolean;
  /** Returns the rank of this daemon among the live ones; 0 is first. */
  rank(): number;
}

const LEASE_NAME = 'duties';
/** Part of the lease before its expiry in which the holder no longer uses it. */
const LEASE_MARGIN_SHARE = 1 / 4; // covers a call in flight and a late timer
/** Part of the lease before its expiry in which no call may be in flight. */
const CALLS_END_SHARE = 1 / 12; // covers a late timer
/** Delay per rank before a daemon tries to acquire the lease, so that daemons with a smaller rank try first. */
const RANK_DELAY_MS = 700; // above the interval of the hint exchange, so that a new holder's hints arrive first
/** Cooldown after losing the lease, as a multiple of the lease. */
const COOLDOWN_LEASES = 1.5; // if A, B and A hold the lease in turn, A's calls to the platform must lie more than one lease apart

/**
 * Elects the one daemon that carries out the duties towards the platform:
 * usage reports, scaling orders and rollout statuses. The election uses a
 * lease that is checked against both the monotonic clock and the wall clock,
 * and counts as expired as soon as either says so, since the monotonic clock
 * stops while the instance is paused.
 */
export class DutyHolder implements DutyLease {
  private readonly leaseKeeper: LeaseKeeper;
  /** Wall clock time before the last successful renewal. */
  private renewedAtWallMs = -Infinity;
  private cooldownUntilMs: number;
  /** Time since which this daemon has been free to acquire the lease. */
  private eligibleSinceMs: number | undefined;
  private renewAtMs = 0;
  private isHolding = false;
  private isReleased = false;

  /** `clock` is monotonic; `wallMs` reads the wall clock. */
  constructor(
    keyValue: KeyValueStore,
    private readonly clock: Clock,
    private readonly wallMs: () => number,
    private readonly peers: DutyPeers,
    private readonly options: DutyHolderOptions,
    private readonly log: Log = noopLog,
  ) {
    const { daemonId, isFirstStart, leaseMs } = options;
    this.leaseKeeper = new LeaseKeeper(keyValue, clock, {
      name: LEASE_NAME,
      holder: daemonId,
      grantMs: leaseMs,
      marginMs: leaseMs * LEASE_MARGIN_SHARE,
    });
    // A restarted process may have held the lease until just before the restart.
    this.cooldownUntilMs = isFirstStart ? 0 : clock.nowMs() + this.cooldownMs();
  }

  /** Returns the fencing token while this daemon holds a usable lease. */
  currentToken(): FencingToken | undefined {
    const lease = this.usableLease();
    if (lease === undefined) return undefined;
    return { holder: lease.holder, fencingNumber: lease.fencingNumber };
  }

  callsEndAtMs(): number {
    const { expiresAtMs } = this.usableLease() ?? { expiresAtMs: -Infinity };
    return expiresAtMs - this.options.leaseMs * CALLS_END_SHARE;
  }

  /** Acquires or renews the lease where that is due. */
  async step(): Promise<void> {
    const nowMs = this.clock.nowMs();
    if (this.isHolding && this.usableLease() === undefined)
      this.stepDown(nowMs);
    if (!this.isHolding && !this.mayAcquire(nowMs)) return;
    if (this.isHolding && nowMs < this.renewAtMs) return;
    const wallMs = this.wallMs();
    const hasLease = await this.leaseKeeper.renew();
    // The lease may have been released while the call was on its way.
    if (this.isReleased) return;
    if (hasLease) {
      if (!this.isHolding) this.logAcquired();
      this.renewedAtWallMs = wallMs;
      this.renewAtMs = this.leaseKeeper.nextRenewalAtMs();
      this.isHolding = true;
      this.eligibleSinceMs = undefined;
      return;
    }
    if (this.isHolding && this.usableLease() === undefined) {
      this.stepDown(this.clock.nowMs());
    }
  }

  /**
   * Stops holding the lease for good, and releases it once the calls made under it
   * have ended, so that another daemon can acquire it at once. `settleCalls`
   * resolves with false if a call may still arrive at the platform; the lease is
   * then left to expire.
   */
  async release(settleCalls: () => Promise<boolean>): Promise<void> {
    this.isReleased = true;
    const wasHolding = this.isHolding;
    this.isHolding = false;
    const isSettled = await settleCalls();
    if (isSettled) await this.leaseKeeper.release();
    else this.leaseKeeper.discard();
    if (!wasHolding) return;
    this.log.info(LogComponent.Duties, 'The duties are given up.', {
      isReleased: isSettled,
    });
  }

  private logAcquired(): void {
    const fencingNumber = this.leaseKeeper.current()?.fencingNumber ?? 0;
    this.log.info(LogComponent.Duties, 'This daemon holds the duties.', {
      fencingNumber,
    });
  }

  private usableLease(): Lease | undefined {
    if (!this.isHolding) return undefined;
    const { leaseMs } = this.options;
    const sinceRenewalMs = this.wallMs() - this.renewedAtWallMs;
    if (sinceRenewalMs > leaseMs * (1 - LEASE_MARGIN_SHARE)) return undefined;
    return this.leaseKeeper.current();
  }

  private stepDown(nowMs: number): void {
    this.log.warn(LogComponent.Duties, 'The lease of the duties has expired.');
    this.isHolding = false;
    this.cooldownUntilMs = nowMs + this.cooldownMs();
    this.leaseKeeper.discard();
  }

  /** Returns whether the cooldown is over, no peer holds the lease, and the delay of this daemon's rank has passed. */
  private mayAcquire(nowMs: number): boolean {
    if (this.isReleased) return false;
    if (nowMs < this.cooldownUntilMs || this.peers.hasHolder()) {
      this.eligibleSinceMs = undefined;
      return false;
    }
    this.eligibleSinceMs ??= nowMs;
    return nowMs >= this.eligibleSinceMs + this.peers.rank() * RANK_DELAY_MS;
  }

  private cooldownMs(): number {
    return this.options.leaseMs * COOLDOWN_LEASES;
  }
}
