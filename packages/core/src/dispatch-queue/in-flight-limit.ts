import type { ReportedLoad } from '../forwarding/index.js';

/** Limit of a daemon that has learned nothing, as a multiple of its equal share of the slots. */
const START_FACTOR = 1.25; // engines hold about twice their slots waiting, so a quarter beyond them is not rejected
/** Least limit, as a multiple of the equal share: news are seconds old, and refusing beside a free slot is as bad as a late response. */
const MIN_FACTOR = 0.5;
/** Least limit of a daemon that has learned nothing, in requests. */
const MIN_START_LIMIT = 3; // plain calls arrive in pairs at a daemon whose share of the slots is below one
/** Least limit in requests. */
const MIN_LIMIT = 1;
/** Waiting requests from which an endpoint counts as congested, as a share of its slots. */
const CONGESTED_WAITING_SHARE = 0.25; // a slot comes free for these within about the shortest latency objective
/** Requests that a report of a free slot adds to the limit. */
const INCREASE_REQUESTS = 0.5; // seven reports a second double a share of 20 within 6 s
/** Weight of the newest report in the share of congested ones. */
const REPORT_WEIGHT = 0.125; // about a second of responses
/** Factor by which a rejection decreases the limit. */
const REJECTION_FACTOR = 0.8;
/** Least time between decreases, so that the answers to requests sent after the last one count for the next. */
const DECREASE_INTERVAL_MS = 500; // about the time to a first event
/** Time without reports after which what was learned no longer counts. */
const MEMORY_MS = 5_000;

/**
 * Limit of this daemon's requests in flight at one group, learned by additive
 * increase and multiplicative decrease (Chiu and Jain, 1989). The decrease grows
 * with the share of congested reports as in DCTCP (Alizadeh et al., 2010): among 80
 * daemons each reads a few reports a second, and a single full endpoint says little.
 * It is kept as a multiple of the equal share, so that it follows the fleet.
 */
export class InFlightLimit {
  private factor = START_FACTOR;
  private hasLearned = false;
  private congestedShare = 0;
  private mayDecreaseAtMs = -Infinity;
  private reportedAtMs = -Infinity;

  /** Returns the limit in requests; `equalShare` is the number of slots divided by the number of daemons. */
  current(equalShare: number, nowMs: number): number {
    this.forgetOld(nowMs);
    const limit = Math.max(MIN_LIMIT, this.factor * equalShare);
    return this.hasLearned ? limit : Math.max(MIN_START_LIMIT, limit);
  }

  /** `isBinding` says whether requests wait or the limit is nearly reached; a limit that is not used does not increase. */
  recordLoad(
    { running, slots, waiting }: ReportedLoad,
    equalShare: number,
    isBinding: boolean,
    nowMs: number,
  ): void {
    this.forgetOld(nowMs);
    this.reportedAtMs = nowMs;
    const isCongested = waiting > Math.max(1, slots * CONGESTED_WAITING_SHARE);
    this.recordCongestion(isCongested);
    if (isCongested) {
      this.decrease(1 - this.congestedShare / 2, equalShare, nowMs);
    } else if (waiting === 0 && running < slots && isBinding) {
      const limit = this.current(equalShare, nowMs);
      this.setLimit(limit + INCREASE_REQUESTS, equalShare);
    }
  }

  recordRejection(equalShare: number, nowMs: number): void {
    this.forgetOld(nowMs);
    this.reportedAtMs = nowMs;
    this.recordCongestion(true);
    const byShare = 1 - this.congestedShare / 2;
    this.decrease(Math.min(REJECTION_FACTOR, byShare), equalShare, nowMs);
  }

  private recordCongestion(isCongested: boolean): void {
    const change = Number(isCongested) - this.congestedShare;
    this.congestedShare += REPORT_WEIGHT * change;
  }

  private decrease(factor: number, equalShare: number, nowMs: number): void {
    if (nowMs < this.mayDecreaseAtMs) return;
    this.mayDecreaseAtMs = nowMs + DECREASE_INTERVAL_MS;
    this.setLimit(this.current(equalShare, nowMs) * factor, equalShare);
  }

  private setLimit(limit: number, equalShare: number): void {
    if (equalShare <= 0) return;
    this.hasLearned = true;
    this.factor = Math.max(MIN_FACTOR, limit / equalShare);
  }

  private forgetOld(nowMs: number): void {
    if (nowMs - this.reportedAtMs < MEMORY_MS) return;
    this.congestedShare = 0;
    this.hasLearned = false;
    this.factor = Math.max(START_FACTOR, this.factor);
    this.reportedAtMs = nowMs;
  }
}
