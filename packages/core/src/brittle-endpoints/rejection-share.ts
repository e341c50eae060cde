import { rendezvousScore } from '../membership/index.js';

/** Share of an endpoint's rejections that is divided; the rest is for daemons that do not know of each other yet. */
const DIVIDED_SHARE = 0.8;

/** Part of what an endpoint bears that this daemon may use. */
export interface RejectionShare {
  /** Rejections per second. */
  readonly rejections: number;
  /** Part of all rejections that are divided, from 0 to 1. */
  readonly part: number;
}

export const NO_REJECTIONS: RejectionShare = { rejections: 0, part: 0 };

/**
 * Returns the rejections per second that this daemon may cause at an endpoint.
 * The remainder of the division goes to the first daemons by rendezvous hashing
 * (highest random weight, Thaler and Ravishankar, 1998). 0 while the daemons are
 * not known.
 */
export function shareOfRejections(
  endpointId: string,
  maxRejectionsPerSecond: number,
  ownId: string,
  daemonIds: readonly string[],
): RejectionShare {
  if (daemonIds.length === 0) return NO_REJECTIONS;
  const divided = Math.max(
    Math.min(1, Math.floor(maxRejectionsPerSecond)),
    Math.floor(maxRejectionsPerSecond * DIVIDED_SHARE),
  );
  const equalPart = Math.floor(divided / daemonIds.length);
  const remainder = divided % daemonIds.length;
  const ownScore = rendezvousScore(endpointId, ownId);
  const rank = daemonIds.filter(
    id => rendezvousScore(endpointId, id) > ownScore,
  ).length;
  const rejections = equalPart + (rank < remainder ? 1 : 0);
  return { rejections, part: divided === 0 ? 0 : rejections / divided };
}
