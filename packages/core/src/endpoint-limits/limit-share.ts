import { rendezvousScore } from '../membership/index.js';

/** Part of an endpoint's limit that one daemon may use. */
export interface LimitShare {
  /** 0 if the daemon is not among the endpoint's senders. */
  readonly perSecond: number;
  /** Number of requests that the daemon may send at once after a pause. */
  readonly burst: number;
}

/** Rate below which a limit is not divided further, so that the end of a limit of 0 is noticed. */
export const MIN_LIMIT_PER_SECOND = 0.1;
const MIN_SENDERS = 2;
/** Number of senders per request a second. All send at once after a pause, which must stay within the excess that the platform tolerates. */
const SENDERS_PER_RATE = 2;
/** Time for which a daemon's share accumulates. */
const BURST_S = 1;
export const NO_SHARE: LimitShare = { perSecond: 0, burst: 0 };

/**
 * Divides an endpoint's limit among the daemons. A low limit is divided among a
 * few of them only, as each sends at least one request at once; these are chosen
 * by rendezvous hashing (highest random weight, Thaler and Ravishankar, 1998).
 * `maxSenders` is their number, at least 1.
 */
export function shareOfLimit(
  endpointId: string,
  limitPerSecond: number,
  ownId: string,
  daemonIds: readonly string[],
  maxSenders = MIN_SENDERS +
    Math.floor(atLeastMinimum(limitPerSecond) * SENDERS_PER_RATE),
): LimitShare {
  const rate = atLeastMinimum(limitPerSecond);
  const senders = Math.min(daemonIds.length, maxSenders);
  const ownScore = rendezvousScore(endpointId, ownId);
  const rank = daemonIds.filter(
    id => rendezvousScore(endpointId, id) > ownScore,
  ).length;
  if (rank >= senders) return NO_SHARE;
  const perSecond = rate / senders;
  return { perSecond, burst: Math.max(1, perSecond * BURST_S) };
}

function atLeastMinimum(limitPerSecond: number): number {
  return Math.max(MIN_LIMIT_PER_SECOND, limitPerSecond);
}
