import type { ReportedLoad } from '../forwarding/index.js';

/** Limit of a daemon that has learned nothing, as a multiple of its equal share of the slots. */
const START_FACTOR = 1.25; // demand differs between daemons, and engines hold twice their slots waiting
/** Least limit, as a multiple of the equal share. */
const MIN_FACTOR = 0.5; // news are seconds old, and refusing beside a free slot is as bad as a late response
/** Least limit of a daemon that has learned nothing, in requests. */
const MIN_START_LIMIT = 3; // plain calls arrive in pairs at a daemon whose share of the slots is below one
/** Requests for each slot from which the limit decreases, where requests hold their slots for long. */
const HIGH_PRESSURE = 1.1; // 0.9 and 1 held requests back at four fifths of the capacity
/** Time that requests may wait at endpoints before the limit decreases. */
const ENDPOINT_WAIT_MS = 50; // a third of the shortest latency objective
/** Greatest pressure that this time allows. */
const MAX_HIGH_PRESSURE = 1.5; // endpoints reject from about three requests for each slot
/** Distance below the upper pressure from which the limit increases: some slot of the group is free then, or soon. */
const PRESSURE_BAND = 0.1;
/** Weight of the newest request in the mean time for which requests hold their places. */
const HOLD_WEIGHT = 0.1; // averages about the last ten requests
/** Requests that a report adds to the limit under low pressure. */
const INCREASE_REQUESTS = 0.5; // seven reports a second double a share of 20 within 6 s
/** Time over which reports are averaged, and bounds of the weight of one. */
const AVERAGING_MS = 1_000; // rare reports must count for more: with a fixed weight the limit followed 5 s late
const MIN_REPORT_WEIGHT = 0.125;
const MAX_REPORT_WEIGHT = 0.5;
/** Most by which a report counts above the upper pressure. */
const MAX_EXCESS = 0.4; // a report comes from where this daemon sends, so more often from endpoints that are full alone
/** Decrease by a rejection, as a share of the limit. */
const REJECTION_DECREASE = 0.5; // endpoints reject only at about three times their slots
/** Least time between decreases, so that the answers to requests sent after the last one count for the next. */
const DECREASE_INTERVAL_MS = 500; // about the time to a first event
/** Time without reports after which what was learned no longer counts. */
const MEMORY_MS = 5_000;

/** What a limit has learned. */
export interface InFlightLimitState {
  /** The limit as a multiple of the equal share. */
  readonly multipleOfShare: number;
  readonly hasLearned: boolean;
  /** Mean of the running and waiting requests for each slot, as reported. */
  readonly pressure: number;
  /** Pressure from which the limit decreases. */
  readonly highPressure: number;
  /** Mean time for which requests hold their places; absent before the first. */
  readonly meanHoldMs?: number;
  /** Time since the last report or rejection; absent before the first. */
  readonly reportedAgoMs?: number;
}

/**
 * Limit of this daemon's requests in flight at one group, learned by additive
 * increase and multiplicative decrease (Chiu and Jain, 1989). As in DCTCP (Alizadeh
 * et al., 2010) the decrease grows with the congestion: the mean of reported
 * requests for each slot. A single full endpoint says little of its group, as
 * each of 80 daemons reads but a few reports a second, of other endpoints each
 * time. The limit is kept as a multiple of the equal share, so that it follows the fleet.
 */
export class InFlightLimit {
  private factor = START_FACTOR;
  private hasLearned = false;
  private pressure = 0;
  private holdMs = Infinity;
  private mayDecreaseAtMs = -Infinity;
  private mayCountRejectionAtMs = -Infinity;
  private reportedAtMs = -Infinity;

  /** Returns the limit in requests, which may be below one; `equalShare` is the number of slots divided by the number of daemons. */
  current(equalShare: number, nowMs: number): number {
    this.forgetOld(nowMs);
    const limit = this.factor * equalShare;
    return this.hasLearned ? limit : Math.max(MIN_START_LIMIT, limit);
  }

  /** Returns what was learned, for the operators. */
  dumpState(nowMs: number): InFlightLimitState {
    return {
      multipleOfShare: this.factor,
      hasLearned: this.hasLearned,
      pressure: this.pressure,
      highPressure: this.highPressure(),
      ...(Number.isFinite(this.holdMs) && { meanHoldMs: this.holdMs }),
      ...(Number.isFinite(this.reportedAtMs) && {
        reportedAgoMs: nowMs - this.reportedAtMs,
      }),
    };
  }

  /** `isBinding` says whether requests wait or the limit is nearly reached; a limit that is not used does not increase. */
  recordLoad(
    { running, slots, waiting }: ReportedLoad,
    equalShare: number,
    isBinding: boolean,
    nowMs: number,
  ): void {
    this.forgetOld(nowMs);
    const byAge = (nowMs - this.reportedAtMs) / AVERAGING_MS;
    const weight = Math.max(MIN_REPORT_WEIGHT, byAge);
    this.reportedAtMs = nowMs;
    const maxLoad = this.highPressure() + MAX_EXCESS;
    const reported = (running + waiting) / Math.max(1, slots);
    const load = Math.min(maxLoad, reported);
    const change = load - this.pressure;
    this.pressure += Math.min(MAX_REPORT_WEIGHT, weight) * change;
    const excess = this.pressure - this.highPressure();
    if (excess > 0) {
      this.decrease(excess / 2, equalShare, nowMs);
    } else if (excess < -PRESSURE_BAND && isBinding) {
      const limit = this.current(equalShare, nowMs);
      this.setLimit(limit + INCREASE_REQUESTS, equalShare);
    }
  }

  /**
   * Records the rejection of a request that was sent at `sentAtMs`. While reports
   * show free slots it is a matter of the choice of endpoints, not of the limit.
   */
  recordRejection(equalShare: number, sentAtMs: number): void {
    this.forgetOld(sentAtMs);
    this.reportedAtMs = Math.max(this.reportedAtMs, sentAtMs);
    const isLow = this.pressure < this.highPressure() - PRESSURE_BAND;
    if (this.pressure > 0 && isLow) return;
    if (sentAtMs < this.mayCountRejectionAtMs) return;
    this.mayCountRejectionAtMs = sentAtMs + DECREASE_INTERVAL_MS;
    this.mayDecreaseAtMs = -Infinity;
    this.decrease(REJECTION_DECREASE, equalShare, sentAtMs);
  }

  /** Records for how long a request held its place. */
  recordHold(heldMs: number): void {
    this.holdMs = Number.isFinite(this.holdMs)
      ? this.holdMs + HOLD_WEIGHT * (heldMs - this.holdMs)
      : heldMs;
  }

  /** Short requests leave their slots so soon that some may wait for each: 50 ms are a whole round of plain calls, and a sixtieth of a stream. */
  private highPressure(): number {
    const allowed = HIGH_PRESSURE + ENDPOINT_WAIT_MS / Math.max(1, this.holdMs);
    return Math.min(MAX_HIGH_PRESSURE, allowed);
  }

  private decrease(share: number, equalShare: number, nowMs: number): void {
    if (nowMs < this.mayDecreaseAtMs) return;
    this.mayDecreaseAtMs = nowMs + DECREASE_INTERVAL_MS;
    this.setLimit(this.current(equalShare, nowMs) * (1 - share), equalShare);
  }

  private setLimit(limit: number, equalShare: number): void {
    if (equalShare <= 0) return;
    this.hasLearned = true;
    this.factor = Math.max(MIN_FACTOR, limit / equalShare);
  }

  private forgetOld(nowMs: number): void {
    if (nowMs - this.reportedAtMs < MEMORY_MS) return;
    this.pressure = 0;
    this.hasLearned = false;
    this.factor = Math.max(START_FACTOR, this.factor);
  }
}
