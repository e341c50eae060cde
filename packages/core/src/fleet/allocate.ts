import { Capacity } from './capacity.js';
import type { FleetPolicy, Pool } from './fleet-policy.js';
import type { Offer } from './offers.js';

/** Instances to add, and the shortfall that remains after them. */
export interface Allocation {
  readonly additions: readonly Offer[];
  readonly adjustedPricePerHour: number;
  /** Shortfall after the loss of the data centre with the highest capacity, in tokens per second. */
  readonly missingTokensPerSecond: number;
  /** Shortfall with every data centre available, in tokens per second. */
  readonly unservedTokensPerSecond: number;
}

const EPSILON = 1e-6;

/**
 * Returns the cheapest additions found with which `neededTokensPerSecond` remain
 * after the loss of any one data centre. The optimum of the relaxed problem
 * spreads the capacity evenly over the k cheapest data centres, so every k gives
 * an upper bound on the capacity of one data centre. The greedy heuristic runs
 * once with each bound and once without one. The result with the smallest
 * shortfall is taken, and among equal ones the cheapest.
 */
export function allocate(
  policy: FleetPolicy,
  kept: readonly Pool[],
  offers: readonly Offer[],
  neededTokensPerSecond: number,
): Allocation {
  const upperBounds = policy.dataCentres
    .slice(1)
    .map((_, index) => neededTokensPerSecond / (index + 1));
  const allocations = [...upperBounds, Number.POSITIVE_INFINITY].map(
    upperBound =>
      allocateGreedily(policy, kept, offers, neededTokensPerSecond, upperBound),
  );
  return allocations.reduce((best, next) =>
    isBetter(next, best) ? next : best,
  );
}

function isBetter(left: Allocation, right: Allocation): boolean {
  const difference = left.missingTokensPerSecond - right.missingTokensPerSecond;
  if (Math.abs(difference) > EPSILON) return difference < 0;
  const unserved = left.unservedTokensPerSecond - right.unservedTokensPerSecond;
  if (Math.abs(unserved) > EPSILON) return unserved < 0;
  return left.adjustedPricePerHour < right.adjustedPricePerHour - EPSILON;
}

/** Adds the cheapest useful offer until the required capacity is reached or no offer is useful. */
function allocateGreedily(
  policy: FleetPolicy,
  kept: readonly Pool[],
  offers: readonly Offer[],
  neededTokensPerSecond: number,
  upperBoundTokensPerSecond: number,
): Allocation {
  const capacity = new Capacity(policy, kept);
  const additions: Offer[] = [];
  let adjustedPricePerHour = 0;
  for (;;) {
    const missing = neededTokensPerSecond - capacity.guaranteedTokensPerSecond;
    const chosen =
      missing > EPSILON
        ? cheapestOffer(offers, capacity, missing, upperBoundTokensPerSecond)
        : undefined;
    if (chosen === undefined) {
      const unserved = neededTokensPerSecond - capacity.totalTokensPerSecond;
      return {
        additions,
        adjustedPricePerHour,
        missingTokensPerSecond: missing > EPSILON ? missing : 0,
        unservedTokensPerSecond: Math.max(0, unserved),
      };
    }
    capacity.add(chosen);
    additions.push(chosen);
    adjustedPricePerHour += chosen.adjustedPricePerHour;
  }
}

/** Returns the offer with the lowest price per useful token per second; undefined if no offer is useful. */
function cheapestOffer(
  offers: readonly Offer[],
  capacity: Capacity,
  missingTokensPerSecond: number,
  upperBoundTokensPerSecond: number,
): Offer | undefined {
  let best: Offer | undefined;
  let bestUnitPrice = Number.POSITIVE_INFINITY;
  for (const offer of offers) {
    const usefulTokens = usefulTokensPerSecond(
      offer,
      capacity,
      missingTokensPerSecond,
      upperBoundTokensPerSecond,
    );
    if (usefulTokens <= EPSILON) continue;
    const unitPrice = offer.adjustedPricePerHour / usefulTokens;
    if (unitPrice < bestUnitPrice) [best, bestUnitPrice] = [offer, unitPrice];
  }
  return best;
}

/**
 * Returns the part of an offer's capacity that reduces the shortfall. With a
 * bound this is what fits below it in the offer's data centre. Without one it is
 * the gain in guaranteed capacity, except that the first instance counts in
 * full, because a single data centre guarantees nothing.
 */
function usefulTokensPerSecond(
  offer: Offer,
  capacity: Capacity,
  missingTokensPerSecond: number,
  upperBoundTokensPerSecond: number,
): number {
  const present = capacity.inDataCentre(offer.dataCentre);
  if (Number.isFinite(upperBoundTokensPerSecond)) {
    const available = upperBoundTokensPerSecond - present;
    return Math.min(offer.tokensPerSecond, available, missingTokensPerSecond);
  }
  const after = capacity.totalTokensPerSecond + offer.tokensPerSecond;
  const largest = Math.max(
    capacity.totalTokensPerSecond - capacity.guaranteedTokensPerSecond,
    present + offer.tokensPerSecond,
  );
  const gain = after - largest - capacity.guaranteedTokensPerSecond;
  const isFirst = capacity.totalTokensPerSecond === 0;
  return isFirst
    ? offer.tokensPerSecond
    : Math.min(gain, missingTokensPerSecond);
}
