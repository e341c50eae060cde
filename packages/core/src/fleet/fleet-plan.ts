import { z } from 'zod';

import { EngineOrderKind, InstanceBilling } from '../ports/index.js';

export enum SlotState {
  /** Stored in the plan; the start request may have been sent. */
  Planned = 'planned',
  /** The cloud returned an instance id; the instance does not serve requests yet. */
  Started = 'started',
  Ready = 'ready',
  /** Accepts no new requests and is stopped at `endsAtMs`. */
  Draining = 'draining',
  /** Announced as leaving by the cloud, which may reclaim it from `endsAtMs` on. */
  Leaving = 'leaving',
  /** Stopped; kept in the plan until the cloud no longer lists the instance. */
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
  /** Reclaim count, decayed up to `asOfMs`. */
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
  /** Bytes that the endpoint reads from the weight store; 0 for a role change. */
  weightBytes: z.number(),
  notBeforeAtMs: z.number(),
  /** Time at which the order's read from the weight store is expected to end. */
  storeUntilMs: z.number(),
  done: z.boolean(),
});

const planSchema = z.object({
  /** Fencing number of the last lease holder that wrote the plan. */
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

/** Planned or existing instance of the fleet. */
export type Slot = Readonly<z.output<typeof slotSchema>>;

/** Backoff of a pool that refused a start or lost instances to reclaims. */
export type Refusal = Readonly<z.output<typeof refusalSchema>>;

/** Decaying count of the recent reclaims in a pool. */
export type ReclaimRecord = Readonly<z.output<typeof reclaimSchema>>;

/** Order to an endpoint and its progress. */
export type OrderRecord = Readonly<z.output<typeof orderSchema>>;

/** Desired state of the fleet, stored in the key-value service. */
export type FleetPlan = Readonly<z.output<typeof planSchema>>;

/** Thrown when the stored plan cannot be parsed. */
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

/** Parses the stored plan. Throws `FleetPlanError`. */
export function parsePlan(key: string, text: string): FleetPlan {
  try {
    return planSchema.parse(JSON.parse(text));
  } catch (error) {
    throw new FleetPlanError(
      `The value of ${key} is not a valid fleet plan; restore it, or delete it so that running instances are adopted.`,
      { cause: error },
    );
  }
}

/** Returns the idempotency token with which the cloud starts at most one instance for the slot. */
export function clientTokenOf(fleet: string, slot: Slot): string {
  return `${fleet}-slot-${slot.slotId}`;
}

/** Whether the slot counts towards the capacity that the fleet keeps: it is neither draining, leaving nor stopped. */
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
