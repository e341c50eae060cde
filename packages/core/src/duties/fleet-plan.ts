import type { EndpointRecord, ScalingTraits } from '../forwarding/index.js';
import { EndpointState } from '../forwarding/index.js';
import type { DataCentre } from '../ports/index.js';

export interface FleetSituation {
  readonly scaling: ScalingTraits;
  /** Endpoints of the group. */
  readonly endpoints: readonly EndpointRecord[];
  /** Most requests that were in flight at them lately. */
  readonly running: number;
}

/** Endpoints of one kind that a data centre is to have. */
export interface PlannedCount {
  readonly dataCentre: DataCentre;
  readonly isReclaimable: boolean;
  readonly count: number;
}

/** Requests in flight that one engine serves within the objective. */
const RUNNING_PER_ENDPOINT = 8; // with 14 in flight at each, journal entry 6d5a72b8 shows first events after 1.8 s
/** Endpoints that are kept while there is no load. */
const MIN_NEEDED = 3; // one for the load that returns, and two that may be lost at once
/** Endpoints on demand that are always kept. */
const MIN_ON_DEMAND = 1; // holds the prompts of all while every reclaimable one is gone

/**
 * The endpoints that carry the load at the least price: reclaimable ones, the
 * same number in each data centre and enough without any one of them, and for
 * those that are not there now, on-demand ones in the cheapest data centres.
 */
export function planFleet({
  endpoints,
  running,
  scaling,
}: FleetSituation): readonly PlannedCount[] {
  const dataCentres = byPrice(scaling);
  const needed = Math.max(
    MIN_NEEDED,
    Math.ceil(running / RUNNING_PER_ENDPOINT) + 1,
  );
  const reclaimable = reclaimableEach(scaling, needed, dataCentres.length);
  const present = endpoints.filter(
    each => each.isReclaimable && each.state === EndpointState.Ready,
  );
  const missing = Math.max(MIN_ON_DEMAND, needed - present.length);
  const onDemand = spread(
    missing,
    dataCentres.length,
    scaling.maxEndpoints - reclaimable,
  );
  return dataCentres.flatMap((dataCentre, index) => [
    { dataCentre, isReclaimable: true, count: reclaimable },
    { dataCentre, isReclaimable: false, count: onDemand[index] ?? 0 },
  ]);
}

function reclaimableEach(
  { maxEndpoints, minEndpoints, reclaimablePrice }: ScalingTraits,
  needed: number,
  dataCentres: number,
): number {
  if (reclaimablePrice === undefined) return 0;
  const enoughWithoutOne = Math.ceil(needed / Math.max(1, dataCentres - 1));
  // One place is left for an on-demand endpoint.
  return Math.min(maxEndpoints - 1, Math.max(minEndpoints, enoughWithoutOne));
}

/** Counts that sum up to `total` as far as the limit of each allows, the first ones larger. */
function spread(
  total: number,
  parts: number,
  limitEach: number,
): readonly number[] {
  const counts = Array.from({ length: parts }, (_, index) =>
    Math.floor((total + parts - 1 - index) / parts),
  );
  return counts.map(count => Math.max(0, Math.min(limitEach, count)));
}

/** Data centres, the cheapest first. */
function byPrice({ pricesByDataCentre }: ScalingTraits): readonly DataCentre[] {
  return Object.entries(pricesByDataCentre)
    .sort(([, left], [, right]) => left - right)
    .map(([dataCentre]) => dataCentre);
}
