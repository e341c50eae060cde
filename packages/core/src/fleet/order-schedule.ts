import type { Endpoint, EngineOrderKind } from '../ports/index.js';
import type { FleetPlan, OrderRecord } from './fleet-plan.js';
import { isKept } from './fleet-plan.js';

/** Model, adapter, version or role that the endpoints of the fleet, or of the given instances, should have. */
export interface EndpointRequirement {
  readonly kind: EngineOrderKind;
  /** Name of the model, adapter, version or role. */
  readonly target: string;
  /** Bytes that one endpoint reads from the weight store; 0 for a role change. */
  readonly weightBytes: number;
  /** Demand that depends on it, in tokens per second; orders with a higher value are scheduled first. */
  readonly neededTokensPerSecond: number;
  /** Instances to which the requirement applies; the whole fleet if absent. */
  readonly instanceIds?: readonly string[];
}

/** Source of the current requirements for the fleet's endpoints. */
export interface RequirementSource {
  endpointRequirements(): readonly EndpointRequirement[];
}

export interface OrderScheduleInput {
  readonly plan: FleetPlan;
  /** Endpoints of the fleet's group. */
  readonly endpoints: readonly Endpoint[];
  readonly requirements: readonly EndpointRequirement[];
  readonly storeBytesPerSecond: number;
  readonly fencingNumber: number;
}

interface RequiredOrder {
  readonly endpoint: Endpoint;
  readonly requirement: EndpointRequirement;
}

/**
 * Returns the plan with the orders that make the endpoints meet the
 * requirements. Weight loads that have not started are sorted by demand and
 * scheduled one after another, so that the bandwidth of the weight store is not
 * exceeded.
 */
export function scheduleOrders(
  input: OrderScheduleInput,
  nowMs: number,
): FleetPlan {
  const { plan } = input;
  const required = requiredOrders(input);
  const kept = plan.orders.filter(order =>
    required.some(candidate => fulfils(order, candidate)),
  );
  const missing = required.filter(
    candidate => !kept.some(order => fulfils(order, candidate)),
  );
  const added = missing.map(
    ({ endpoint, requirement }, index): OrderRecord => ({
      orderId: orderIdOf(plan.nextOrderNumber + index),
      instanceId: endpoint.instanceId,
      address: endpoint.address,
      kind: requirement.kind,
      target: requirement.target,
      fencingNumber: input.fencingNumber,
      weightBytes: requirement.weightBytes,
      notBeforeAtMs: Number.MAX_SAFE_INTEGER,
      storeUntilMs: 0,
      done: false,
    }),
  );
  return {
    ...plan,
    nextOrderNumber: plan.nextOrderNumber + added.length,
    orders: assignStartTimes([...kept, ...added], input, nowMs),
  };
}

/** Returns the plan with the order under a new id, so that it is sent again after its effect was lost. */
export function reissueOrder(plan: FleetPlan, orderId: string): FleetPlan {
  const orders = plan.orders.map(order =>
    order.orderId === orderId
      ? { ...order, orderId: orderIdOf(plan.nextOrderNumber), done: false }
      : order,
  );
  return { ...plan, nextOrderNumber: plan.nextOrderNumber + 1, orders };
}

/** Returns the plan with the order marked as done. */
export function markOrderDone(plan: FleetPlan, orderId: string): FleetPlan {
  const orders = plan.orders.map(order =>
    order.orderId === orderId ? { ...order, done: true } : order,
  );
  return { ...plan, orders };
}

function requiredOrders(input: OrderScheduleInput): readonly RequiredOrder[] {
  const kept = new Set(
    input.plan.slots.filter(isKept).map(slot => slot.instanceId),
  );
  const endpoints = input.endpoints.filter(endpoint =>
    kept.has(endpoint.instanceId),
  );
  return [...input.requirements]
    .sort(
      (left, right) => right.neededTokensPerSecond - left.neededTokensPerSecond,
    )
    .flatMap(requirement =>
      endpoints
        .filter(
          endpoint =>
            requirement.instanceIds?.includes(endpoint.instanceId) ?? true,
        )
        .map(endpoint => ({ endpoint, requirement })),
    );
}

function fulfils(
  order: OrderRecord,
  { endpoint, requirement }: RequiredOrder,
): boolean {
  return (
    order.instanceId === endpoint.instanceId &&
    order.kind === requirement.kind &&
    order.target === requirement.target
  );
}

/** Sets the start time of every order that has not started. */
function assignStartTimes(
  orders: readonly OrderRecord[],
  input: OrderScheduleInput,
  nowMs: number,
): OrderRecord[] {
  const startedOrders = orders.filter(order => order.notBeforeAtMs <= nowMs);
  const waitingOrders = orders.filter(order => order.notBeforeAtMs > nowMs);
  let storeFreeAtMs = Math.max(
    nowMs,
    ...startedOrders.map(order => order.storeUntilMs),
  );
  const scheduledOrders = sortByNeed(waitingOrders, input.requirements).map(
    order => {
      if (order.weightBytes === 0) {
        return { ...order, notBeforeAtMs: nowMs, storeUntilMs: nowMs };
      }
      const notBeforeAtMs = storeFreeAtMs;
      storeFreeAtMs += (order.weightBytes * 1_000) / input.storeBytesPerSecond;
      return { ...order, notBeforeAtMs, storeUntilMs: storeFreeAtMs };
    },
  );
  return [...startedOrders, ...scheduledOrders];
}

function sortByNeed(
  orders: readonly OrderRecord[],
  requirements: readonly EndpointRequirement[],
): OrderRecord[] {
  const demandFor = (order: OrderRecord) =>
    requirements.find(
      requirement =>
        requirement.kind === order.kind && requirement.target === order.target,
    )?.neededTokensPerSecond ?? 0;
  return [...orders].sort((left, right) => demandFor(right) - demandFor(left));
}

function orderIdOf(number: number): string {
  return `order-${number}`;
}
