import type { EndpointRecord, ScalingSettings } from '../forwarding/index.js';
import { EndpointState } from '../forwarding/index.js';
import type { DataCentre } from '../ports/index.js';

/** What became of the last order for endpoints of one kind in a data centre. */
export interface LastOrder {
  readonly count: number;
  readonly isAccepted: boolean;
  /** True while the endpoints may still be starting. */
  readonly isRecent: boolean;
}

export interface FleetSituation {
  readonly scaling: ScalingSettings;
  /** Endpoints of the group. */
  readonly endpoints: readonly EndpointRecord[];
  /** Most requests that were in flight at them lately. */
  readonly running: number;
  readonly reclaimableOrders: ReadonlyMap<DataCentre, LastOrder>;
  readonly onDemandOrders: ReadonlyMap<DataCentre, LastOrder>;
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
/** Reclaimable endpoints that each data centre has while there is no load. */
const MIN_RECLAIMABLE_EACH = 2; // an idle group of one each takes 8 s to grow into a burst
/** Endpoints on demand that are always kept. */
const MIN_ON_DEMAND = 1; // takes over the requests of all while every reclaimable one is gone

/** A data centre as the plan sees it. */
interface Place {
  readonly dataCentre: DataCentre;
  /** Reclaimable endpoints that serve. */
  readonly ready: number;
  /** Those that will serve if the last order and the present plan are carried out. */
  readonly expected: number;
  /** On-demand endpoints that serve or were ordered last. */
  readonly onDemand: number;
}

/**
 * The endpoints that carry the load at the least price: reclaimable ones, the
 * same number in each data centre and enough without any one of them, and for
 * those that are not to be had, on-demand ones in the cheapest data centres.
 * These stay until the reclaimable ones that replace them serve.
 */
export function planFleet(situation: FleetSituation): readonly PlannedCount[] {
  const { running, scaling } = situation;
  const needed = Math.max(
    MIN_NEEDED,
    Math.ceil(running / RUNNING_PER_ENDPOINT) + 1,
  );
  const planned = reclaimableEach(scaling, needed);
  const places = byPrice(scaling).map(each =>
    placeOf(each, planned, situation),
  );
  const missing = (counts: readonly number[]) =>
    Math.max(MIN_ON_DEMAND, needed - lastingCount(counts, planned));
  const least = missing(places.map(each => each.expected));
  const most = missing(places.map(each => each.ready));
  const ordered = sum(places.map(each => each.onDemand));
  const onDemand = placeOnDemand(
    Math.min(most, Math.max(least, ordered)),
    places,
    places.map(each => roomFor(each, planned, scaling)),
  );
  return places.flatMap(({ dataCentre }, index) => {
    const count = onDemand[index] ?? 0;
    const room = scaling.maxEndpoints - count;
    return [
      { dataCentre, isReclaimable: true, count: Math.min(planned, room) },
      { dataCentre, isReclaimable: false, count },
    ];
  });
}

function placeOf(
  dataCentre: DataCentre,
  planned: number,
  { endpoints, onDemandOrders, reclaimableOrders }: FleetSituation,
): Place {
  const here = endpoints.filter(each => each.dataCentre === dataCentre);
  const isReady = (each: EndpointRecord) => each.state === EndpointState.Ready;
  const reclaimable = here.filter(each => each.isReclaimable);
  const ready = reclaimable.filter(isReady).length;
  const isReclaimed = reclaimable.length > ready;
  const isToBeHad =
    !isReclaimed && isKept(reclaimableOrders.get(dataCentre), ready);
  const onDemandOrder = onDemandOrders.get(dataCentre);
  return {
    dataCentre,
    ready,
    expected: isToBeHad ? Math.max(planned, ready) : ready,
    onDemand:
      onDemandOrder?.isAccepted === true
        ? onDemandOrder.count
        : here.filter(each => !each.isReclaimable && isReady(each)).length,
  };
}

/** Whether an order has brought its endpoints, or still may; true where there was none. */
function isKept(order: LastOrder | undefined, ready: number): boolean {
  if (order === undefined) return true;
  return order.isAccepted && (order.isRecent || ready >= order.count);
}

/**
 * Reclaimable endpoints that the plan counts on: none while some are missing,
 * since where one data centre loses them the others often follow.
 */
function lastingCount(counts: readonly number[], planned: number): number {
  return counts.every(each => each >= planned) ? sum(counts) : 0;
}

function reclaimableEach(scaling: ScalingSettings, needed: number): number {
  const { maxEndpoints, minEndpoints, reclaimablePrice } = scaling;
  if (reclaimablePrice === undefined) return 0;
  const dataCentres = Object.keys(scaling.pricesByDataCentre).length;
  const enoughWithoutOne = Math.ceil(needed / Math.max(1, dataCentres - 1));
  const least = Math.max(minEndpoints, MIN_RECLAIMABLE_EACH);
  // One place is left for an on-demand endpoint.
  return Math.min(maxEndpoints - 1, Math.max(least, enoughWithoutOne));
}

/** On-demand endpoints that a place may have; one more reclaimable one can always be asked for. */
function roomFor(
  { expected }: Place,
  planned: number,
  { maxEndpoints }: ScalingSettings,
): number {
  const next = expected < planned ? 1 : 0;
  return maxEndpoints - expected - next;
}

/** On-demand endpoints of each place: those ordered before, then further ones in turn. */
function placeOnDemand(
  total: number,
  places: readonly Place[],
  rooms: readonly number[],
): readonly number[] {
  const kept = dealOut(
    total,
    places.map((each, index) => Math.min(each.onDemand, rooms[index] ?? 0)),
  );
  const further = dealOut(
    total - sum(kept),
    rooms.map((room, index) => room - (kept[index] ?? 0)),
  );
  return kept.map((count, index) => count + (further[index] ?? 0));
}

/** Deals out `total` one by one, in rounds from the first room on, as far as there is room. */
function dealOut(total: number, rooms: readonly number[]): readonly number[] {
  const counts = rooms.map(() => 0);
  let left = Math.min(total, sum(rooms.map(room => Math.max(0, room))));
  for (let round = 1; left > 0; round += 1) {
    for (const [index, room] of rooms.entries()) {
      if (left === 0 || room < round) continue;
      counts[index] = round;
      left -= 1;
    }
  }
  return counts;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Data centres, the cheapest first. */
function byPrice({
  pricesByDataCentre,
}: ScalingSettings): readonly DataCentre[] {
  return Object.entries(pricesByDataCentre)
    .sort(([, left], [, right]) => left - right)
    .map(([dataCentre]) => dataCentre);
}
