import type { LimitShare } from '../endpoint-limits/index.js';
import { NO_SHARE, shareOfLimit } from '../endpoint-limits/index.js';

/** Requests per second that a cold endpoint may get from all daemons together: a multiple of what it tolerates, plus a number. */
export interface ColdBound {
  readonly overage: number;
  readonly slack: number;
}

/** Limit for a cold endpoint that all daemons divide among a few of them. */
export interface ColdLimit {
  readonly perSecond: number;
  readonly senders: number;
}

/** Part of the bound that is left to daemons that are senders only by what they know, as they do not know a daemon before them. */
const DISAGREEMENT_SHARE = 1 / 3; // half as many daemons again as there are senders
/** In any second, buckets that were full give their burst and a second's refill. */
const SECONDS_OF_LIMIT = 2;

/**
 * Returns the limit that keeps all daemons below the bound in any one second, also
 * if all senders empty full buckets at once; undefined if the bound is below one
 * request. There are as few senders as bursts of about one request allow, since
 * each further one could be a daemon too many.
 */
export function coldLimitOf(
  requestsPerSecond: number,
  { overage, slack }: ColdBound,
): ColdLimit | undefined {
  const bound = requestsPerSecond * overage + slack;
  if (bound < 1) return undefined;
  const usable = bound * (1 - DISAGREEMENT_SHARE);
  const perSecond = Math.min(requestsPerSecond, usable / SECONDS_OF_LIMIT);
  return { perSecond, senders: Math.max(1, Math.floor(perSecond)) };
}

/** Returns a daemon's share of the limit for an endpoint. */
export function shareOfColdLimit(
  endpointId: string,
  limit: ColdLimit | undefined,
  ownId: string,
  daemonIds: readonly string[],
): LimitShare {
  if (limit === undefined) return NO_SHARE;
  const { perSecond, senders } = limit;
  return shareOfLimit(endpointId, perSecond, ownId, daemonIds, senders);
}
