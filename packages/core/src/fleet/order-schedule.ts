import type { Endpoint, EngineOrderKind } from '../ports/index.js';
import type { FleetPlan, OrderRecord } from './fleet-plan.js';
import { isKept } from './fleet-plan.js';

/** Something that every endpoint of the fleet, or those named, should hold. */
export interface RequiredLoad {
  readonly kind: EngineOrderKind;
  /** Name of the model, adapter, version or role. */
  readonly target: string;
  /** Bytes that one endpoint reads from the weight store; 0 for a role. */
  readonly weightBytes: number;
  /** Load that waits for it, in tokens a second; the most needed is loaded first. */
  readonly neededTokensPerSecond: number;
  /** Instances that it is for; all of the fleet where absent. */
  readonly instanceIds?: readonly string[];
}

/** Tells what the endpoints should hold at present. */
export interface LoadSource {
  requiredLoads(): readonly RequiredLoad[];
}

export interface OrderScheduleInput {
  readonly plan: FleetPlan;
  /** Endpoints of the fleet's group. */
  readonly endpoints: readonly Endpoint[];
  readonly loads: readonly RequiredLoad[];
  readonly storeBytesPerSecond: number;
  readonly fencingNumber: number;
}

interface Wanted {
  readonly endpoint: Endpoint;
  readonly load: RequiredLoad;
}

/**
 * Orders that make the endpoints hold what is required. Loads of weights that
 * have not begun are put in order of need, and follow one another so that the
 * weight store's limit is kept.
 */
export function scheduleOrders(
  input: OrderScheduleInput,
  nowMs: number,
): FleetPlan {
  const { plan } = input;
  const wanted = wantedOrders(input);
  const kept = plan.orders.filter(order =>
    wanted.some(each => isFor(order, each)),
  );
  const missing = wanted.filter(
    each => !kept.some(order => isFor(order, each)),
  );
  const added = missing.map(({ endpoint, load }, index): OrderRecord => ({
    orderId: orderIdOf(plan.nextOrderNumber + index),
    instanceId: endpoint.instanceId,
    address: endpoint.address,
    kind: load.kind,
    target: load.target,
    fencingNumber: input.fencingNumber,
    weightBytes: load.weightBytes,
    notBeforeAtMs: Number.MAX_SAFE_INTEGER,
    storeUntilMs: 0,
    done: false,
  }));
  return {
    ...plan,
    nextOrderNumber: plan.nextOrderNumber + added.length,
    orders: pace([...kept, ...added], input, nowMs),
  };
}

/** Puts an order under a new number, where the endpoint no longer shows its effect. */
export function renewOrder(plan: FleetPlan, orderId: string): FleetPlan {
  const orders = plan.orders.map(order =>
    order.orderId === orderId
      ? { ...order, orderId: orderIdOf(plan.nextOrderNumber), done: false }
      : order,
  );
  return { ...plan, nextOrderNumber: plan.nextOrderNumber + 1, orders };
}

/** Marks an order whose effect the endpoint shows. */
export function markOrderDone(plan: FleetPlan, orderId: string): FleetPlan {
  const orders = plan.orders.map(order =>
    order.orderId === orderId ? { ...order, done: true } : order,
  );
  return { ...plan, orders };
}

function wantedOrders(input: OrderScheduleInput): readonly Wanted[] {
  const kept = new Set(
    input.plan.slots.filter(isKept).map(slot => slot.instanceId),
  );
  const endpoints = input.endpoints.filter(endpoint =>
    kept.has(endpoint.instanceId),
  );
  return [...input.loads]
    .sort(
      (left, right) => right.neededTokensPerSecond - left.neededTokensPerSecond,
    )
    .flatMap(load =>
      endpoints
        .filter(each => load.instanceIds?.includes(each.instanceId) ?? true)
        .map(endpoint => ({ endpoint, load })),
    );
}

function isFor(order: OrderRecord, { endpoint, load }: Wanted): boolean {
  return (
    order.instanceId === endpoint.instanceId &&
    order.kind === load.kind &&
    order.target === load.target
  );
}

/** Sets the times of the orders that have not begun. */
function pace(
  orders: readonly OrderRecord[],
  input: OrderScheduleInput,
  nowMs: number,
): OrderRecord[] {
  const begun = orders.filter(order => order.notBeforeAtMs <= nowMs);
  const waiting = orders.filter(order => order.notBeforeAtMs > nowMs);
  let freeAtMs = Math.max(nowMs, ...begun.map(order => order.storeUntilMs));
  const paced = byNeed(waiting, input.loads).map(order => {
    if (order.weightBytes === 0) {
      return { ...order, notBeforeAtMs: nowMs, storeUntilMs: nowMs };
    }
    const notBeforeAtMs = freeAtMs;
    freeAtMs += (order.weightBytes * 1_000) / input.storeBytesPerSecond;
    return { ...order, notBeforeAtMs, storeUntilMs: freeAtMs };
  });
  return [...begun, ...paced];
}

function byNeed(
  orders: readonly OrderRecord[],
  loads: readonly RequiredLoad[],
): OrderRecord[] {
  const needOf = (order: OrderRecord) =>
    loads.find(load => load.kind === order.kind && load.target === order.target)
      ?.neededTokensPerSecond ?? 0;
  return [...orders].sort((left, right) => needOf(right) - needOf(left));
}

function orderIdOf(number: number): string {
  return `order-${number}`;
}
