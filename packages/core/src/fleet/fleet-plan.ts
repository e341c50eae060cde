import { z } from 'zod';

import { EngineOrderKind, InstanceBilling } from '../ports/index.js';

export enum SlotState {
  /** Written down; its start may have been sent. */
  Planned = 'planned',
  /** The cloud named the instance; it takes no work yet. */
  Started = 'started',
  Ready = 'ready',
  /** Takes no new work and is stopped at `endsAtMs`. */
  Draining = 'draining',
  /** Reclaimed by the cloud from `endsAtMs` on. */
  Leaving = 'leaving',
  /** Stopped; kept until the platform's list no longer shows it. */
  Stopped = 'stopped',
}

const poolFields = {
  machineClass: z.string(),
  dataCentre: z.string(),
  billing: z.enum(InstanceBilling),
};

const slotSchema = z.object({
  ...poolFields,
  slotId: z.int(),
  state: z.enum(SlotState),
  /** Fencing number of the lease under which the slot was planned. */
  fencingNumber: z.int(),
  pricePerHour: z.number(),
  instanceId: z.string().optional(),
  startedAtMs: z.number().optional(),
  readyByAtMs: z.number().optional(),
  endsAtMs: z.number().optional(),
});

const refusalSchema = z.object({
  ...poolFields,
  failures: z.int(),
  retryAtMs: z.number(),
});

const reclaimSchema = z.object({
  ...poolFields,
  /** Reclaims so far, decayed to `asOfMs`. */
  count: z.number(),
  asOfMs: z.number(),
});

const orderSchema = z.object({
  orderId: z.string(),
  instanceId: z.string(),
  address: z.string(),
  kind: z.enum(EngineOrderKind),
  target: z.string(),
  /** Fencing number of the lease under which the order was planned. */
  fencingNumber: z.int(),
  /** Bytes that the endpoint reads from the weight store; 0 for a role. */
  weightBytes: z.number(),
  notBeforeAtMs: z.number(),
  /** Time at which the weight store is free again. */
  storeUntilMs: z.number(),
  done: z.boolean(),
});

const planSchema = z.object({
  /** Fencing number of the last holder that took the plan over. */
  fencingNumber: z.int(),
  nextSlotId: z.int(),
  nextOrderNumber: z.int(),
  slots: z.array(slotSchema),
  refusals: z.array(refusalSchema),
  reclaims: z.array(reclaimSchema),
  orders: z.array(orderSchema),
  listingAsOfMs: z.number(),
  peakTokensPerSecond: z.number(),
  peakUntilMs: z.number(),
  shrinkAtMs: z.number().optional(),
  rebalanceAtMs: z.number().optional(),
});

/** One instance that the fleet wants or has. */
export type Slot = Readonly<z.output<typeof slotSchema>>;

/** A pool that refused a start or lost instances, and when it is used again. */
export type Refusal = Readonly<z.output<typeof refusalSchema>>;

/** How often a pool was reclaimed of late. */
export type ReclaimRecord = Readonly<z.output<typeof reclaimSchema>>;

/** One order that an endpoint should have carried out. */
export type OrderRecord = Readonly<z.output<typeof orderSchema>>;

/** Desired state of the fleet, stored in the key-value service. */
export type FleetPlan = Readonly<z.output<typeof planSchema>>;

/** The stored plan cannot be read. */
export class FleetPlanError extends Error {
  override readonly name = 'FleetPlanError';
}

export const EMPTY_PLAN: FleetPlan = {
  fencingNumber: 0,
  nextSlotId: 1,
  nextOrderNumber: 1,
  slots: [],
  refusals: [],
  reclaims: [],
  orders: [],
  listingAsOfMs: 0,
  peakTokensPerSecond: 0,
  peakUntilMs: 0,
};

/** Reads a stored plan. Throws `FleetPlanError`. */
export function parsePlan(key: string, text: string): FleetPlan {
  try {
    return planSchema.parse(JSON.parse(text));
  } catch (error) {
    throw new FleetPlanError(
      `The value of ${key} is no fleet plan; restore it, or delete it so that running instances are adopted.`,
      { cause: error },
    );
  }
}

/** Token under which the cloud starts at most one instance for the slot. */
export function clientTokenOf(fleet: string, slot: Slot): string {
  return `${fleet}-slot-${slot.slotId}`;
}

/** Whether the slot is meant to carry load from now on. */
export function isKept(slot: Slot): boolean {
  return (
    slot.state === SlotState.Planned ||
    slot.state === SlotState.Started ||
    slot.state === SlotState.Ready
  );
}

export function isReady(slot: Slot): boolean {
  return slot.state === SlotState.Ready;
}
