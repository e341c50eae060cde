import { LeaseKeeper } from '../leases/index.js';
import type { Clock, KeyValue, Lease } from '../ports/index.js';
import type { DutyProof } from './duty-calls.js';

export interface DutyHolderOptions {
  readonly daemonId: string;
  readonly leaseMs: number;
  /** The whole system starts for the first time: no daemon can have held the duties before. */
  readonly isFirstStart: boolean;
}

/** What decides whether this daemon may take the duties. */
export interface DutyRivals {
  /** Another daemon said lately that it holds them. */
  hasHolder(): boolean;
  /** Place of this daemon among the live ones, 0 first. */
  rank(): number;
}

const LEASE_NAME = 'duties';
/** Part of the lease before its end in which it is no longer used. */
const MARGIN_SHARE = 1 / 4; // covers a call under way and a timer's lateness
/** Time by which a daemon lets each of those before it go first. */
const RANK_WAIT_MS = 700; // above a hint exchange, so that the first one's claim is heard of
/** Leases for which a daemon that has lost the duties stays away. */
const ABSENCE_LEASES = 1.5; // acts of holders in the order A, B, A must lie more than one lease apart

/**
 * Holds the duties towards the platform, which one daemon has at a time. The
 * lease counts by the steady clock and by the time of day, whichever ends it
 * first, since the steady clock stands still while the instance is paused.
 */
export class DutyHolder {
  private readonly keeper: LeaseKeeper;
  private renewedWallMs = -Infinity;
  private awayUntilMs: number;
  private wantedSinceMs: number | undefined;
  private renewAtMs = 0;
  private isHolding = false;

  /** `wallMs` reads the time of day. */
  constructor(
    keyValue: KeyValue,
    private readonly clock: Clock,
    private readonly wallMs: () => number,
    private readonly rivals: DutyRivals,
    private readonly options: DutyHolderOptions,
  ) {
    const { daemonId, isFirstStart, leaseMs } = options;
    this.keeper = new LeaseKeeper(keyValue, clock, {
      name: LEASE_NAME,
      holder: daemonId,
      grantMs: leaseMs,
      marginMs: leaseMs * MARGIN_SHARE,
    });
    // A process that starts again may have held the duties until just now.
    this.awayUntilMs = isFirstStart ? 0 : clock.nowMs() + this.absenceMs();
  }

  /** The right to act now, if this daemon has it. */
  current(): DutyProof | undefined {
    const lease = this.usable();
    if (lease === undefined) return undefined;
    return { holder: lease.holder, fencingNumber: lease.fencingNumber };
  }

  /** Takes or renews the lease where that is due. */
  async step(): Promise<void> {
    const nowMs = this.clock.nowMs();
    if (this.isHolding && this.usable() === undefined) this.giveUp(nowMs);
    if (!this.isHolding && !this.mayTry(nowMs)) return;
    if (this.isHolding && nowMs < this.renewAtMs) return;
    const wallMs = this.wallMs();
    const hasLease = await this.keeper.renew();
    if (hasLease) {
      this.renewedWallMs = wallMs;
      this.renewAtMs = this.keeper.nextRenewalAtMs();
      this.isHolding = true;
      this.wantedSinceMs = undefined;
      return;
    }
    if (this.isHolding && this.usable() === undefined) {
      this.giveUp(this.clock.nowMs());
    }
  }

  /** Gives the duties back, so that another daemon can take them at once. */
  async release(): Promise<void> {
    this.awayUntilMs = Infinity;
    const wasHolding = this.isHolding;
    this.isHolding = false;
    if (wasHolding) await this.keeper.release();
  }

  private usable(): Lease | undefined {
    if (!this.isHolding) return undefined;
    const { leaseMs } = this.options;
    const sinceRenewalMs = this.wallMs() - this.renewedWallMs;
    if (sinceRenewalMs > leaseMs * (1 - MARGIN_SHARE)) return undefined;
    return this.keeper.current();
  }

  private giveUp(nowMs: number): void {
    this.isHolding = false;
    this.awayUntilMs = nowMs + this.absenceMs();
    this.keeper.forget();
  }

  /** Whether this daemon's turn to try has come. */
  private mayTry(nowMs: number): boolean {
    if (nowMs < this.awayUntilMs || this.rivals.hasHolder()) {
      this.wantedSinceMs = undefined;
      return false;
    }
    this.wantedSinceMs ??= nowMs;
    return nowMs >= this.wantedSinceMs + this.rivals.rank() * RANK_WAIT_MS;
  }

  private absenceMs(): number {
    return this.options.leaseMs * ABSENCE_LEASES;
  }
}
