import type { EndpointRecord, ScalingSettings } from '../forwarding/index.js';
import { EndpointState } from '../forwarding/index.js';
import type { DataCentre } from '../ports/index.js';

/** Last order for endpoints of one kind in a data centre, with its outcome. */
export interface LastOrder {
  readonly count: number;
  readonly isAccepted: boolean;
  /** Whether the ordered endpoints may still be starting. */
  readonly isPending: boolean;
}

/** Input of `planFleet` for one group. */
export interface FleetState {
  readonly scaling: ScalingSettings;
  /** Endpoints of the group. */
  readonly endpoints: readonly EndpointRecord[];
  /** Recent maximum of the requests in flight at the endpoints. */
  readonly peakInFlight: number;
  /** Requests in flight that one endpoint serves within the latency objective, at least 1. */
  readonly inFlightPerEndpoint: number;
  /** Endpoints that the group keeps whatever its load; 0 once its load decides. */
  readonly minRequired: number;
  /** Of these, the on-demand ones that were there before any order; reclaimable ones replace them. */
  readonly provisionedOnDemand?: number;
  readonly reclaimableOrders: ReadonlyMap<DataCentre, LastOrder>;
  readonly onDemandOrders: ReadonlyMap<DataCentre, LastOrder>;
}

/** Planned number of endpoints of one kind in a data centre. */
export interface PlannedCount {
  readonly dataCentre: DataCentre;
  readonly isReclaimable: boolean;
  readonly count: number;
}

/** Requests in flight that one engine is taken to serve within the latency objective, as long as nothing is learned of it. */
export const DEFAULT_IN_FLIGHT_PER_ENDPOINT = 8; // with 14 in flight at each endpoint, first events took 1.8 s
/** Time within which an ordered endpoint should serve, as a multiple of its boot time. */
export const BOOT_TIME_FACTOR = 1.5; // the list shows an endpoint up to a second late
/** Minimum number of endpoints, also without load. */
const MIN_REQUIRED_ENDPOINTS = 3; // one for returning load, and two that may be lost at once
/** Minimum number of reclaimable endpoints in each data centre, also without load. */
const MIN_RECLAIMABLE_PER_DATA_CENTRE = 2; // with one each, an idle group takes 8 s to scale up for a burst
/** Reclaimable endpoints for each one that the load requires, where they are cheap: a burst of twice the load comes before ordered endpoints have started. */
const RECLAIMABLE_HEADROOM = 2;
/** Share of a data centre's limit that on-demand endpoints free at a time for reclaimable ones that are to start. */
const REPLACED_SHARE = 0.25; // giving all free at once left data centres without endpoints for the time of a start
/** Price of a reclaimable endpoint, relative to an on-demand one, up to which the headroom is kept. */
const MAX_HEADROOM_PRICE = 0.25; // twice as many still cost half of what the load would cost on demand
/** Minimum number of on-demand endpoints of a group. */
const MIN_ON_DEMAND = 1; // serves all requests while every reclaimable endpoint is unavailable

/** Endpoints of the group in one data centre. */
interface DataCentreState {
  readonly dataCentre: DataCentre;
  /** Reclaimable endpoints that are ready. */
  readonly ready: number;
  /** Reclaimable endpoints that will be ready once the last order and this plan are carried out. */
  readonly expectedReady: number;
  /** On-demand endpoints of the last accepted order; without one, those that are ready. */
  readonly onDemand: number;
}

/**
 * Plans the cheapest set of endpoints that serves the load. It uses
 * reclaimable endpoints, the same number in each data centre and enough to
 * lose any one data centre. Where these are unavailable, it uses on-demand
 * endpoints in the cheapest data centres, and keeps them until the reclaimable
 * endpoints that replace them are ready.
 */
export function planFleet(state: FleetState): readonly PlannedCount[] {
  const { inFlightPerEndpoint, minRequired, peakInFlight } = state;
  const { provisionedOnDemand, scaling } = state;
  const requiredByLoad = Math.max(
    MIN_REQUIRED_ENDPOINTS,
    Math.ceil(peakInFlight / inFlightPerEndpoint) + 1,
  );
  const required = Math.max(minRequired, requiredByLoad);
  const reclaimableTarget = Math.max(
    keptPerDataCentre(scaling, minRequired, provisionedOnDemand),
    reclaimablePerDataCentre(
      scaling,
      requiredByLoad * reclaimableHeadroom(scaling),
    ),
  );
  const dataCentres = dataCentresByPrice(scaling).map(dataCentre =>
    dataCentreStateOf(dataCentre, reclaimableTarget, state),
  );
  const requiredOnDemand = (counts: readonly number[]) =>
    Math.max(
      MIN_ON_DEMAND,
      required - dependableCount(counts, reclaimableTarget),
    );
  const minOnDemand = requiredOnDemand(
    dataCentres.map(each => each.expectedReady),
  );
  const maxOnDemand = requiredOnDemand(dataCentres.map(each => each.ready));
  const currentOnDemand = sum(dataCentres.map(each => each.onDemand));
  const onDemandCounts = distributeOnDemand(
    Math.min(maxOnDemand, Math.max(minOnDemand, currentOnDemand)),
    dataCentres,
    dataCentres.map(each => onDemandCapacity(each, reclaimableTarget, scaling)),
  );
  return dataCentres.flatMap(({ dataCentre, ready }, index) => {
    const count = onDemandCounts[index] ?? 0;
    const remaining = scaling.maxEndpoints - count;
    const kept = minRequired > 0 ? ready : 0;
    return [
      {
        dataCentre,
        isReclaimable: true,
        count: Math.min(Math.max(reclaimableTarget, kept), remaining),
      },
      { dataCentre, isReclaimable: false, count },
    ];
  });
}

function dataCentreStateOf(
  dataCentre: DataCentre,
  reclaimableTarget: number,
  { endpoints, onDemandOrders, reclaimableOrders }: FleetState,
): DataCentreState {
  const local = endpoints.filter(
    endpoint => endpoint.dataCentre === dataCentre,
  );
  const isReady = (endpoint: EndpointRecord) =>
    endpoint.state === EndpointState.Ready;
  const reclaimable = local.filter(endpoint => endpoint.isReclaimable);
  const ready = reclaimable.filter(isReady).length;
  const hasUnready = reclaimable.length > ready;
  const isAvailable =
    !hasUnready &&
    isFulfilledOrPending(reclaimableOrders.get(dataCentre), ready);
  const onDemandOrder = onDemandOrders.get(dataCentre);
  return {
    dataCentre,
    ready,
    expectedReady: isAvailable ? Math.max(reclaimableTarget, ready) : ready,
    onDemand:
      onDemandOrder?.isAccepted === true
        ? onDemandOrder.count
        : local.filter(endpoint => !endpoint.isReclaimable && isReady(endpoint))
            .length,
  };
}

/** Returns whether the ordered endpoints are ready or may still be starting; true where none were ordered. */
function isFulfilledOrPending(
  order: LastOrder | undefined,
  ready: number,
): boolean {
  if (order === undefined) return true;
  return order.isAccepted && (order.isPending || ready >= order.count);
}

/**
 * Returns the reclaimable endpoints that the plan may rely on: none if any
 * data centre is below the target, since a loss in one data centre is often
 * followed by losses in the others.
 */
function dependableCount(
  counts: readonly number[],
  reclaimableTarget: number,
): number {
  return counts.every(count => count >= reclaimableTarget) ? sum(counts) : 0;
}

/** Returns the reclaimable endpoints to keep for each one that the load requires. */
function reclaimableHeadroom({
  reclaimablePrice = 1,
}: ScalingSettings): number {
  return reclaimablePrice <= MAX_HEADROOM_PRICE ? RECLAIMABLE_HEADROOM : 1;
}

/**
 * Returns the reclaimable endpoints in each data centre that keep the group at its
 * size. There are spare ones only for on-demand endpoints: the reclaimable ones
 * contain those that an earlier holder of the duties ordered as spare, and would
 * grow with each change of the holder.
 */
function keptPerDataCentre(
  scaling: ScalingSettings,
  minRequired: number,
  onDemand = 0,
): number {
  const { maxEndpoints, pricesByDataCentre, reclaimablePrice } = scaling;
  if (reclaimablePrice === undefined) return 0;
  const dataCentreCount = Object.keys(pricesByDataCentre).length;
  const share = Math.floor(minRequired / Math.max(1, dataCentreCount));
  const replacements =
    onDemand <= MIN_ON_DEMAND
      ? 0
      : reclaimablePerDataCentre(
          scaling,
          onDemand * reclaimableHeadroom(scaling),
        );
  return Math.min(maxEndpoints - 1, Math.max(share, replacements));
}

function reclaimablePerDataCentre(
  scaling: ScalingSettings,
  required: number,
): number {
  const { maxEndpoints, minEndpoints, reclaimablePrice } = scaling;
  if (reclaimablePrice === undefined) return 0;
  const dataCentreCount = Object.keys(scaling.pricesByDataCentre).length;
  const enoughWithoutOne = Math.ceil(
    required / Math.max(1, dataCentreCount - 1),
  );
  const minCount = Math.max(minEndpoints, MIN_RECLAIMABLE_PER_DATA_CENTRE);
  // One below the limit, to leave capacity for an on-demand endpoint.
  return Math.min(maxEndpoints - 1, Math.max(minCount, enoughWithoutOne));
}

/**
 * Returns the on-demand endpoints that fit within the limit of a data centre.
 * Below the target, capacity for one further reclaimable endpoint is left
 * free, so that it can be ordered again. Those that are still to start replace
 * only a part of the on-demand ones at a time, which serve until then.
 */
function onDemandCapacity(
  { expectedReady, ready }: DataCentreState,
  reclaimableTarget: number,
  { maxEndpoints }: ScalingSettings,
): number {
  const reserved = expectedReady < reclaimableTarget ? 1 : 0;
  const starting = Math.min(
    expectedReady - ready,
    Math.ceil(maxEndpoints * REPLACED_SHARE),
  );
  return maxEndpoints - ready - starting - reserved;
}

/** Distributes on-demand endpoints over the data centres: existing ones stay in place, the rest go round-robin. */
function distributeOnDemand(
  total: number,
  dataCentres: readonly DataCentreState[],
  capacities: readonly number[],
): readonly number[] {
  const kept = distributeRoundRobin(
    total,
    dataCentres.map((each, index) =>
      Math.min(each.onDemand, capacities[index] ?? 0),
    ),
  );
  const added = distributeRoundRobin(
    total - sum(kept),
    capacities.map((capacity, index) => capacity - (kept[index] ?? 0)),
  );
  return kept.map((count, index) => count + (added[index] ?? 0));
}

/** Distributes `total` round-robin, starting with the first capacity, until all of it is placed or no capacity is left. */
function distributeRoundRobin(
  total: number,
  capacities: readonly number[],
): readonly number[] {
  const counts = capacities.map(() => 0);
  let remaining = Math.min(
    total,
    sum(capacities.map(capacity => Math.max(0, capacity))),
  );
  for (let round = 1; remaining > 0; round += 1) {
    for (const [index, capacity] of capacities.entries()) {
      if (remaining === 0 || capacity < round) continue;
      counts[index] = round;
      remaining -= 1;
    }
  }
  return counts;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Returns the data centres, cheapest first. */
function dataCentresByPrice({
  pricesByDataCentre,
}: ScalingSettings): readonly DataCentre[] {
  return Object.entries(pricesByDataCentre)
    .sort(([, left], [, right]) => left - right)
    .map(([dataCentre]) => dataCentre);
}
