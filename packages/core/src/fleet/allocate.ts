import { Capacity } from './capacity.js';
import type { FleetPolicy, Pool } from './fleet-policy.js';
import type { Offer } from './offers.js';

/** Instances to add and what is still missing after them. */
export interface Allocation {
  readonly additions: readonly Offer[];
  readonly weightedPrice: number;
  /** Load that the loss of a data centre would leave unserved, in tokens a second. */
  readonly missingTokensPerSecond: number;
  /** Load that is unserved with every data centre up, in tokens a second. */
  readonly unservedTokensPerSecond: number;
}

const EPSILON = 1e-6;

/**
 * Cheapest additions found after which the loss of any one data centre leaves
 * `neededTokensPerSecond`. The optimum of the relaxed problem spreads the load
 * evenly over the k cheapest data centres, so each k gives one bound on the
 * load of a data centre; each bound is filled greedily and the cheapest wins.
 */
export function allocate(
  policy: FleetPolicy,
  kept: readonly Pool[],
  offers: readonly Offer[],
  neededTokensPerSecond: number,
): Allocation {
  const bounds = policy.dataCentres
    .slice(1)
    .map((_, index) => neededTokensPerSecond / (index + 1));
  const candidates = [...bounds, Number.POSITIVE_INFINITY].map(bound =>
    fill(policy, kept, offers, neededTokensPerSecond, bound),
  );
  return candidates.reduce((best, next) =>
    isBetter(next, best) ? next : best,
  );
}

function isBetter(left: Allocation, right: Allocation): boolean {
  const difference = left.missingTokensPerSecond - right.missingTokensPerSecond;
  if (Math.abs(difference) > EPSILON) return difference < 0;
  const unserved = left.unservedTokensPerSecond - right.unservedTokensPerSecond;
  if (Math.abs(unserved) > EPSILON) return unserved < 0;
  return left.weightedPrice < right.weightedPrice - EPSILON;
}

/** Adds the cheapest useful offer until the need is met or none is useful. */
function fill(
  policy: FleetPolicy,
  kept: readonly Pool[],
  offers: readonly Offer[],
  neededTokensPerSecond: number,
  boundTokensPerSecond: number,
): Allocation {
  const capacity = new Capacity(policy, kept);
  const additions: Offer[] = [];
  let weightedPrice = 0;
  for (;;) {
    const missing = neededTokensPerSecond - capacity.guaranteedTokensPerSecond;
    const chosen =
      missing > EPSILON
        ? cheapest(offers, capacity, missing, boundTokensPerSecond)
        : undefined;
    if (chosen === undefined) {
      const unserved = neededTokensPerSecond - capacity.totalTokensPerSecond;
      return {
        additions,
        weightedPrice,
        missingTokensPerSecond: missing > EPSILON ? missing : 0,
        unservedTokensPerSecond: Math.max(0, unserved),
      };
    }
    capacity.add(chosen);
    additions.push(chosen);
    weightedPrice += chosen.weightedPrice;
  }
}

/** Offer of least price for each token a second that it brings towards the need. */
function cheapest(
  offers: readonly Offer[],
  capacity: Capacity,
  missingTokensPerSecond: number,
  boundTokensPerSecond: number,
): Offer | undefined {
  let best: Offer | undefined;
  let bestPrice = Number.POSITIVE_INFINITY;
  for (const offer of offers) {
    const useful = usefulTokens(
      offer,
      capacity,
      missingTokensPerSecond,
      boundTokensPerSecond,
    );
    if (useful <= EPSILON) continue;
    const unitPrice = offer.weightedPrice / useful;
    if (unitPrice < bestPrice) [best, bestPrice] = [offer, unitPrice];
  }
  return best;
}

/** Part of an offer's load that counts: below the bound, and what a loss elsewhere leaves. */
function usefulTokens(
  offer: Offer,
  capacity: Capacity,
  missingTokensPerSecond: number,
  boundTokensPerSecond: number,
): number {
  const present = capacity.of(offer.dataCentre);
  if (Number.isFinite(boundTokensPerSecond)) {
    const room = boundTokensPerSecond - present;
    return Math.min(offer.tokensPerSecond, room, missingTokensPerSecond);
  }
  const after = capacity.totalTokensPerSecond + offer.tokensPerSecond;
  const largest = Math.max(
    capacity.totalTokensPerSecond - capacity.guaranteedTokensPerSecond,
    present + offer.tokensPerSecond,
  );
  const gained = after - largest - capacity.guaranteedTokensPerSecond;
  const isFirst = capacity.totalTokensPerSecond === 0;
  return isFirst
    ? offer.tokensPerSecond
    : Math.min(gained, missingTokensPerSecond);
}
