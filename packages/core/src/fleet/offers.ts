import type { Price } from '../ports/index.js';
import type { FleetPlan, ReclaimRecord } from './fleet-plan.js';
import type { FleetPolicy, Pool } from './fleet-policy.js';
import { capacityOf, poolKey, poolOf } from './fleet-policy.js';

/** A pool that may be asked for an instance now. */
export interface Offer extends Pool {
  readonly pricePerHour: number;
  /** Price with the expected cost of reclaims, for comparison only. */
  readonly weightedPrice: number;
  readonly tokensPerSecond: number;
}

const RECLAIM_HALF_LIFE_MS = 6 * 3_600_000;
const RECLAIM_PRICE_SHARE = 0.05;
const MAX_WEIGHED_RECLAIMS = 6;

/** Pools with a price that are in the policy and not backing off. */
export function availableOffers(
  policy: FleetPolicy,
  prices: readonly Price[],
  plan: FleetPlan,
  nowMs: number,
): readonly Offer[] {
  const paused = new Set(
    plan.refusals
      .filter(refusal => refusal.retryAtMs > nowMs)
      .map(refusal => poolKey(refusal)),
  );
  const reclaims = new Map(plan.reclaims.map(each => [poolKey(each), each]));
  return prices
    .filter(price => policy.dataCentres.includes(price.dataCentre))
    .filter(price => !paused.has(poolKey(price)))
    .map(price => offerOf(policy, price, reclaims.get(poolKey(price)), nowMs))
    .filter(offer => offer.tokensPerSecond > 0);
}

function offerOf(
  policy: FleetPolicy,
  price: Price,
  record: ReclaimRecord | undefined,
  nowMs: number,
): Offer {
  const count = Math.min(decayedReclaims(record, nowMs), MAX_WEIGHED_RECLAIMS);
  return {
    ...poolOf(price),
    pricePerHour: price.pricePerHour,
    weightedPrice: price.pricePerHour * (1 + RECLAIM_PRICE_SHARE * count),
    tokensPerSecond: capacityOf(policy, price.machineClass),
  };
}

/** Reclaims of a pool, halved for every half-life since they were counted. */
export function decayedReclaims(
  record: ReclaimRecord | undefined,
  nowMs: number,
): number {
  if (record === undefined) return 0;
  const ageMs = Math.max(0, nowMs - record.asOfMs);
  return record.count * 0.5 ** (ageMs / RECLAIM_HALF_LIFE_MS);
}
