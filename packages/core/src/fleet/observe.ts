import type { FleetListing, Instance, ReclaimNotice } from '../ports/index.js';
import { EndpointStage, InstanceState } from '../ports/index.js';
import type { FleetPlan, Slot } from './fleet-plan.js';
import { isKept, SlotState } from './fleet-plan.js';
import type { FleetPolicy } from './fleet-policy.js';
import { capacityOf, poolKey, poolOf } from './fleet-policy.js';
import { decayedReclaims } from './offers.js';
import { pausePool } from './refusals.js';

/** What the cloud says of the fleet. */
export interface FleetObservation {
  readonly listing: FleetListing;
  readonly notices: readonly ReclaimNotice[];
}

/** Time that a started instance may be absent from the lagging list. */
const ABSENCE_LIMIT_MS = 60_000;

/** Merges what the cloud says into the plan. An older list than the last changes nothing. */
export function observe(
  policy: FleetPolicy,
  plan: FleetPlan,
  seen: FleetObservation,
  fencingNumber: number,
  nowMs: number,
): FleetPlan {
  const noticed = applyNotices(policy, plan, seen.notices, nowMs);
  if (seen.listing.asOfMs <= plan.listingAsOfMs) return noticed;
  const listed = applyListing(policy, noticed, seen.listing, nowMs);
  const adopted = adopt(policy, listed, seen.listing, fencingNumber);
  return { ...adopted, listingAsOfMs: seen.listing.asOfMs };
}

function applyNotices(
  policy: FleetPolicy,
  plan: FleetPlan,
  notices: readonly ReclaimNotice[],
  nowMs: number,
): FleetPlan {
  const times = new Map(
    notices.map(each => [each.instanceId, each.reclaimAtMs]),
  );
  let next = plan;
  const slots = plan.slots.map(slot => {
    const endsAtMs = times.get(slot.instanceId ?? '');
    if (endsAtMs === undefined || slot.state === SlotState.Stopped) return slot;
    if (slot.state === SlotState.Leaving) return slot;
    next = recordReclaim(policy, next, slot, nowMs);
    return { ...slot, state: SlotState.Leaving, endsAtMs };
  });
  return { ...next, slots };
}

/** Counts a reclaim once for each pool and wave, and pauses the pool. */
function recordReclaim(
  policy: FleetPolicy,
  plan: FleetPlan,
  slot: Slot,
  nowMs: number,
): FleetPlan {
  const key = poolKey(slot);
  const others = plan.reclaims.filter(each => poolKey(each) !== key);
  const known = plan.reclaims.find(each => poolKey(each) === key);
  const isSameWave =
    known !== undefined && nowMs - known.asOfMs < policy.reclaimPauseMs;
  if (isSameWave) return plan;
  const record = {
    ...poolOf(slot),
    count: decayedReclaims(known, nowMs) + 1,
    asOfMs: nowMs,
  };
  const paused = pausePool(plan, slot, nowMs + policy.reclaimPauseMs);
  return { ...paused, reclaims: [...others, record] };
}

function applyListing(
  policy: FleetPolicy,
  plan: FleetPlan,
  listing: FleetListing,
  nowMs: number,
): FleetPlan {
  const instances = new Map(listing.instances.map(each => [each.id, each]));
  const ready = new Set(
    listing.endpoints
      .filter(endpoint => endpoint.group === policy.group)
      .filter(endpoint => endpoint.stage === EndpointStage.Ready)
      .map(endpoint => endpoint.instanceId),
  );
  const slots = plan.slots.flatMap(slot => {
    if (slot.instanceId === undefined) return [slot];
    const instance = instances.get(slot.instanceId);
    const next = listedSlot(slot, instance, listing.asOfMs, nowMs);
    if (next?.state !== SlotState.Started) return next ?? [];
    return [
      ready.has(slot.instanceId) ? { ...next, state: SlotState.Ready } : next,
    ];
  });
  return { ...plan, slots };
}

/** The slot as listed; undefined once its instance is gone. */
function listedSlot(
  slot: Slot,
  instance: Instance | undefined,
  asOfMs: number,
  nowMs: number,
): Slot | undefined {
  const startedAtMs = slot.startedAtMs ?? 0;
  if (instance?.state === InstanceState.Gone) return undefined;
  if (instance === undefined) {
    return asOfMs > startedAtMs + ABSENCE_LIMIT_MS ? undefined : slot;
  }
  if (instance.state === InstanceState.Leaving && isKept(slot)) {
    return { ...slot, state: SlotState.Leaving, endsAtMs: nowMs };
  }
  return slot;
}

/** Takes instances that serve the group and that no slot names into the plan. */
function adopt(
  policy: FleetPolicy,
  plan: FleetPlan,
  listing: FleetListing,
  fencingNumber: number,
): FleetPlan {
  const unknown = unknownInstances(policy, plan, listing);
  if (unknown.length === 0 || plan.slots.some(isUnanswered)) return plan;
  const slots = unknown.map((instance, index): Slot => ({
    ...poolOf(instance),
    slotId: plan.nextSlotId + index,
    state: SlotState.Started,
    fencingNumber,
    pricePerHour: 0,
    instanceId: instance.id,
    startedAtMs: listing.asOfMs,
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

/** An unknown instance may be that of a start whose answer is not known yet. */
function isUnanswered(slot: Slot): boolean {
  return slot.state === SlotState.Planned;
}
