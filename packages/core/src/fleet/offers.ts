import type { Price } from '../ports/index.js';
import type { FleetPlan, ReclaimRecord } from './fleet-plan.js';
import type { FleetPolicy, Pool } from './fleet-policy.js';
import { capacityOf, poolKey, poolOf } from './fleet-policy.js';

/** A pool in which an instance can be requested now. */
export interface Offer extends Pool {
  readonly pricePerHour: number;
  /** Hourly price plus a surcharge for the expected cost of reclaims; used only to compare offers. */
  readonly adjustedPricePerHour: number;
  readonly tokensPerSecond: number;
}

const RECLAIM_HALF_LIFE_MS = 6 * 3_600_000;
const PRICE_SURCHARGE_PER_RECLAIM = 0.05;
const MAX_COUNTED_RECLAIMS = 6;

/** Returns the priced pools that the policy covers and that are not in backoff. */
export function availableOffers(
  policy: FleetPolicy,
  prices: readonly Price[],
  plan: FleetPlan,
  nowMs: number,
): readonly Offer[] {
  const backedOffPools = new Set(
    plan.refusals
      .filter(refusal => refusal.retryAtMs > nowMs)
      .map(refusal => poolKey(refusal)),
  );
  const reclaims = new Map(
    plan.reclaims.map(record => [poolKey(record), record]),
  );
  return prices
    .filter(price => policy.dataCentres.includes(price.dataCentre))
    .filter(price => !backedOffPools.has(poolKey(price)))
    .map(price =>
      createOffer(policy, price, reclaims.get(poolKey(price)), nowMs),
    )
    .filter(offer => offer.tokensPerSecond > 0);
}

function createOffer(
  policy: FleetPolicy,
  price: Price,
  record: ReclaimRecord | undefined,
  nowMs: number,
): Offer {
  const count = Math.min(decayedReclaims(record, nowMs), MAX_COUNTED_RECLAIMS);
  return {
    ...poolOf(price),
    pricePerHour: price.pricePerHour,
    adjustedPricePerHour:
      price.pricePerHour * (1 + PRICE_SURCHARGE_PER_RECLAIM * count),
    tokensPerSecond: capacityOf(policy, price.machineClass),
  };
}

/** Returns the reclaim count of a pool, decayed exponentially since `asOfMs`. */
export function decayedReclaims(
  record: ReclaimRecord | undefined,
  nowMs: number,
): number {
  if (record === undefined) return 0;
  const ageMs = Math.max(0, nowMs - record.asOfMs);
  return record.count * 0.5 ** (ageMs / RECLAIM_HALF_LIFE_MS);
}
