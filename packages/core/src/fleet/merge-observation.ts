import type { FleetListing, Instance, ReclaimNotice } from '../ports/index.js';
import { EndpointStage, InstanceState } from '../ports/index.js';
import type { FleetPlan, Slot } from './fleet-plan.js';
import { isKept, SlotState } from './fleet-plan.js';
import type { FleetPolicy } from './fleet-policy.js';
import { capacityOf, poolKey, poolOf } from './fleet-policy.js';
import { decayedReclaims } from './offers.js';
import { pausePool } from './refusals.js';

/** State of the fleet as reported by the cloud. */
export interface FleetObservation {
  readonly listing: FleetListing;
  readonly notices: readonly ReclaimNotice[];
}

/** Longest time that a started instance may be missing from the cloud's list, which lags behind. */
const MAX_LISTING_LAG_MS = 60_000;

/**
 * Merges the state reported by the cloud into the plan. Reclaim notices always
 * apply; a list that is not newer than the last merged one is ignored.
 */
export function mergeObservation(
  policy: FleetPolicy,
  plan: FleetPlan,
  observation: FleetObservation,
  fencingNumber: number,
  nowMs: number,
): FleetPlan {
  const withNotices = applyNotices(policy, plan, observation.notices, nowMs);
  if (observation.listing.asOfMs <= plan.listingAsOfMs) return withNotices;
  const withListing = applyListing(
    policy,
    withNotices,
    observation.listing,
    nowMs,
  );
  const withAdopted = adoptInstances(
    policy,
    withListing,
    observation.listing,
    fencingNumber,
    nowMs,
  );
  return { ...withAdopted, listingAsOfMs: observation.listing.asOfMs };
}

function applyNotices(
  policy: FleetPolicy,
  plan: FleetPlan,
  notices: readonly ReclaimNotice[],
  nowMs: number,
): FleetPlan {
  const reclaimTimes = new Map(
    notices.map(notice => [notice.instanceId, notice.reclaimAtMs]),
  );
  let next = plan;
  const slots = plan.slots.map(slot => {
    const endsAtMs = reclaimTimes.get(slot.instanceId ?? '');
    if (endsAtMs === undefined || slot.state === SlotState.Stopped) return slot;
    if (slot.state === SlotState.Leaving) return slot;
    next = recordReclaim(policy, next, slot, nowMs);
    return { ...slot, state: SlotState.Leaving, endsAtMs };
  });
  return { ...next, slots };
}

/** Counts a reclaim and pauses its pool. Notices for one pool within `reclaimPauseMs` count once. */
function recordReclaim(
  policy: FleetPolicy,
  plan: FleetPlan,
  slot: Slot,
  nowMs: number,
): FleetPlan {
  const key = poolKey(slot);
  const others = plan.reclaims.filter(record => poolKey(record) !== key);
  const known = plan.reclaims.find(record => poolKey(record) === key);
  const isAlreadyCounted =
    known !== undefined && nowMs - known.asOfMs < policy.reclaimPauseMs;
  if (isAlreadyCounted) return plan;
  const updated = {
    ...poolOf(slot),
    count: decayedReclaims(known, nowMs) + 1,
    asOfMs: nowMs,
  };
  const paused = pausePool(plan, slot, nowMs + policy.reclaimPauseMs);
  return { ...paused, reclaims: [...others, updated] };
}

function applyListing(
  policy: FleetPolicy,
  plan: FleetPlan,
  listing: FleetListing,
  nowMs: number,
): FleetPlan {
  const instances = new Map(
    listing.instances.map(instance => [instance.id, instance]),
  );
  const readyInstanceIds = new Set(
    listing.endpoints
      .filter(endpoint => endpoint.group === policy.group)
      .filter(endpoint => endpoint.stage === EndpointStage.Ready)
      .map(endpoint => endpoint.instanceId),
  );
  const slots = plan.slots.flatMap(slot => {
    if (slot.instanceId === undefined) return [slot];
    const instance = instances.get(slot.instanceId);
    const next = reconcileSlot(slot, instance, listing.asOfMs, nowMs);
    if (next?.state !== SlotState.Started) return next ?? [];
    return [
      readyInstanceIds.has(slot.instanceId)
        ? { ...next, state: SlotState.Ready }
        : next,
    ];
  });
  return { ...plan, slots };
}

/** Returns the slot updated from the list, or undefined once its instance no longer exists. */
function reconcileSlot(
  slot: Slot,
  instance: Instance | undefined,
  asOfMs: number,
  nowMs: number,
): Slot | undefined {
  const startedAtMs = slot.startedAtMs ?? 0;
  if (instance?.state === InstanceState.Terminated) return undefined;
  if (instance === undefined) {
    return asOfMs > startedAtMs + MAX_LISTING_LAG_MS ? undefined : slot;
  }
  if (instance.state === InstanceState.Leaving && isKept(slot)) {
    return { ...slot, state: SlotState.Leaving, endsAtMs: nowMs };
  }
  return slot;
}

/** Adds slots for running instances that serve the group and belong to no slot. */
function adoptInstances(
  policy: FleetPolicy,
  plan: FleetPlan,
  listing: FleetListing,
  fencingNumber: number,
  nowMs: number,
): FleetPlan {
  const unknown = unknownInstances(policy, plan, listing);
  if (unknown.length === 0 || plan.slots.some(isStartPending)) return plan;
  const slots = unknown.map((instance, index): Slot => ({
    ...poolOf(instance),
    slotId: plan.nextSlotId + index,
    state: SlotState.Started,
    fencingNumber,
    pricePerHour: 0,
    instanceId: instance.id,
    startedAtMs: listing.asOfMs,
    // It may have been started by a holder that ended before it could store the deadline.
    readyByAtMs: nowMs + policy.readyTimeoutMs,
  }));
  return {
    ...plan,
    nextSlotId: plan.nextSlotId + slots.length,
    slots: [...plan.slots, ...slots],
  };
}

function unknownInstances(
  policy: FleetPolicy,
  plan: FleetPlan,
  listing: FleetListing,
): readonly Instance[] {
  const known = new Set(plan.slots.map(slot => slot.instanceId));
  const serving = new Set(
    listing.endpoints
      .filter(endpoint => endpoint.group === policy.group)
      .map(endpoint => endpoint.instanceId),
  );
  return listing.instances
    .filter(instance => serving.has(instance.id))
    .filter(instance => !known.has(instance.id))
    .filter(instance => instance.state === InstanceState.Running)
    .filter(instance => policy.dataCentres.includes(instance.dataCentre))
    .filter(instance => capacityOf(policy, instance.machineClass) > 0);
}

/** Whether the slot's start is unconfirmed; an unknown instance may then be the result of that start. */
function isStartPending(slot: Slot): boolean {
  return slot.state === SlotState.Planned;
}
