import type { EndpointRecord, ScalingTraits } from '../forwarding/index.js';
import type { DataCentre } from '../ports/index.js';

export interface FleetSituation {
  readonly scaling: ScalingTraits;
  /** Endpoints of the group that take work. */
  readonly present: readonly EndpointRecord[];
  /** Requests in flight at them. */
  readonly running: number;
  readonly isUnavailable: (
    dataCentre: DataCentre,
    isReclaimable: boolean,
  ) => boolean;
}

/** Endpoints of one kind that a data centre is to have. */
export interface PlannedCount {
  readonly dataCentre: DataCentre;
  readonly isReclaimable: boolean;
  readonly count: number;
}

/** Requests in flight that one engine serves within the objective. */
const RUNNING_PER_ENDPOINT = 8; // with 14 in flight at each, journal entry 6d5a72b8 shows first events after 1.8 s
/** Reclaimable endpoints of each data centre while there is little load. */
const MIN_RECLAIMABLE = 2; // a data centre that keeps one through a partial loss keeps its prompts
/** Data centres whose reclaimable endpoints may be gone at one time. */
const LOST_DATA_CENTRES = 2; // a second reclaim may come before the first one's endpoints are replaced

/**
 * Endpoints for the load, in each data centre the same number of reclaimable
 * ones, so that the loss of one data centre takes the least.
 */
export function planFleet({
  running,
  scaling,
}: FleetSituation): readonly PlannedCount[] {
  const dataCentres = Object.keys(scaling.pricesByDataCentre);
  const needed = Math.ceil(running / RUNNING_PER_ENDPOINT);
  const kept = Math.max(1, dataCentres.length - LOST_DATA_CENTRES);
  const each = Math.ceil(needed / kept);
  const count = Math.min(
    scaling.maxEndpoints,
    Math.max(MIN_RECLAIMABLE, scaling.minEndpoints, each),
  );
  const cheapest = cheapestOf(scaling);
  return dataCentres.flatMap(dataCentre => {
    const onDemand = dataCentre === cheapest ? 1 : 0;
    return [
      { dataCentre, isReclaimable: true, count },
      { dataCentre, isReclaimable: false, count: onDemand },
    ];
  });
}

function cheapestOf({ pricesByDataCentre }: ScalingTraits): DataCentre {
  const sorted = Object.entries(pricesByDataCentre).sort(
    ([, left], [, right]) => left - right,
  );
  return sorted[0]?.[0] ?? '';
}
