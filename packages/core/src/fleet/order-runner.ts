import type {
  Address,
  Clock,
  EngineClient,
  EngineInventory,
  Lease,
} from '../ports/index.js';
import { EngineOrderKind, PlatformError } from '../ports/index.js';
import type { FleetPlan, OrderRecord } from './fleet-plan.js';
import type { LeaseGuard } from './lease-guard.js';
import { markOrderDone, reissueOrder } from './order-schedule.js';

/** Engine calls used to carry out orders. */
export type OrderEngine = Pick<EngineClient, 'order' | 'inventory'>;

/** Whether the endpoints of a fleet reject an order with an outdated fencing number. */
export enum FencingCheck {
  Checked = 'checked',
  Ignored = 'ignored',
}

export interface OrderRunnerOptions {
  readonly fleet: string;
  readonly fencingCheck: FencingCheck;
  /** Time after the end of its read from the weight store by which an order must have taken effect. */
  readonly effectTimeoutMs: number;
  /** Interval between reads of an endpoint whose orders are all done. */
  readonly verifyIntervalMs: number;
}

export enum OrderProgress {
  Sent = 'sent',
  Done = 'done',
  /** The endpoint accepted the order but does not show its effect, or no longer does. */
  Lost = 'lost',
}

export interface OrderResult {
  readonly orderId: string;
  readonly progress: OrderProgress;
}

/**
 * Sends the orders of a stored plan to the endpoints, under a lease. Before an
 * order is sent, the endpoint's inventory is read, once no earlier transmission
 * of the order can still arrive.
 */
export class OrderRunner {
  /** Time until which an order sent by this process may still arrive, by the order's id at the engine. */
  private readonly unresolvedUntilMs = new Map<string, number>();
  private readonly verifyAtMs = new Map<Address, number>();

  constructor(
    private readonly engine: OrderEngine,
    private readonly clock: Clock,
    private readonly guard: LeaseGuard,
    private readonly options: OrderRunnerOptions,
  ) {}

  async run(plan: FleetPlan): Promise<readonly OrderResult[]> {
    const byAddress = new Map<Address, OrderRecord[]>();
    for (const order of plan.orders.filter(candidate =>
      this.isDue(candidate),
    )) {
      const earlierOrders = byAddress.get(order.address) ?? [];
      byAddress.set(order.address, [...earlierOrders, order]);
    }
    this.forgetRemovedOrders(plan);
    const results = await Promise.all(
      [...byAddress].map(entry => this.runEndpoint(...entry)),
    );
    return results.flat();
  }

  private isDue(order: OrderRecord): boolean {
    const lease = this.guard.current();
    const nowMs = this.clock.nowMs();
    if (lease === undefined || nowMs < order.notBeforeAtMs) return false;
    const ignoresFencing = this.options.fencingCheck === FencingCheck.Ignored;
    if (order.done && !(ignoresFencing && this.isVerifyDue(order)))
      return false;
    if (nowMs < (this.unresolvedUntilMs.get(this.engineOrderId(order)) ?? 0))
      return false;
    const isInherited = order.fencingNumber < lease.fencingNumber;
    const mayArriveLate = ignoresFencing || isInherited;
    return !mayArriveLate || nowMs >= this.guard.earlierCallsEndAtMs();
  }

  /**
   * Whether the endpoint has to be read again. An endpoint that ignores fencing
   * numbers is read every `verifyIntervalMs`; a done order whose effect no longer
   * shows is sent again.
   */
  private isVerifyDue({ address }: OrderRecord): boolean {
    return this.clock.nowMs() >= (this.verifyAtMs.get(address) ?? 0);
  }

  private async runEndpoint(
    address: Address,
    orders: readonly OrderRecord[],
  ): Promise<readonly OrderResult[]> {
    const results: OrderResult[] = [];
    try {
      const deadlineAtMs = this.guard.callDeadlineMs();
      const inventory = await this.engine.inventory(address, deadlineAtMs);
      const verifyAtMs = this.clock.nowMs() + this.options.verifyIntervalMs;
      this.verifyAtMs.set(address, verifyAtMs);
      for (const order of orders) {
        const progress = await this.advanceOrder(order, inventory);
        if (progress !== undefined) {
          results.push({ orderId: order.orderId, progress });
        }
      }
    } catch (error) {
      // The next step reads the inventory again and continues from there.
      if (!(error instanceof PlatformError)) throw error;
    }
    return results;
  }

  private async advanceOrder(
    order: OrderRecord,
    inventory: EngineInventory,
  ): Promise<OrderProgress | undefined> {
    if (showsEffect(inventory, order)) {
      return order.done ? undefined : OrderProgress.Done;
    }
    if (order.done) return OrderProgress.Lost;
    if (inventory.orderIds.includes(this.engineOrderId(order))) {
      const effectDeadlineMs =
        order.storeUntilMs + this.options.effectTimeoutMs;
      return this.clock.nowMs() > effectDeadlineMs
        ? OrderProgress.Lost
        : undefined;
    }
    const lease = this.guard.current();
    if (lease === undefined) return undefined;
    await this.sendOrder(order, lease);
    return OrderProgress.Sent;
  }

  /** Sends the order. Callers must not await anything between reading `lease` and this call. */
  private async sendOrder(order: OrderRecord, lease: Lease): Promise<void> {
    const orderId = this.engineOrderId(order);
    const deadlineAtMs = this.guard.callDeadlineMs();
    this.unresolvedUntilMs.set(orderId, deadlineAtMs);
    await this.engine.order(order.address, {
      orderId,
      kind: order.kind,
      target: order.target,
      fencingNumber: lease.fencingNumber,
      deadlineAtMs,
    });
  }

  private engineOrderId(order: OrderRecord): string {
    return `${this.options.fleet}-${order.orderId}`;
  }

  private forgetRemovedOrders(plan: FleetPlan): void {
    const addresses = new Set(plan.orders.map(order => order.address));
    for (const address of this.verifyAtMs.keys()) {
      if (!addresses.has(address)) this.verifyAtMs.delete(address);
    }
    const knownOrderIds = new Set(
      plan.orders.map(order => this.engineOrderId(order)),
    );
    for (const orderId of this.unresolvedUntilMs.keys()) {
      if (!knownOrderIds.has(orderId)) this.unresolvedUntilMs.delete(orderId);
    }
  }
}

/** Returns the plan updated with the progress of its orders. */
export function applyOrderResults(
  plan: FleetPlan,
  results: readonly OrderResult[],
): FleetPlan {
  return results.reduce((next, { orderId, progress }) => {
    switch (progress) {
      case OrderProgress.Sent:
        return next;
      case OrderProgress.Done:
        return markOrderDone(next, orderId);
      case OrderProgress.Lost:
        return reissueOrder(next, orderId);
    }
  }, plan);
}

/** Whether the endpoint's inventory shows the effect of the order. */
function showsEffect(inventory: EngineInventory, order: OrderRecord): boolean {
  switch (order.kind) {
    case EngineOrderKind.LoadModel:
      return inventory.models.includes(order.target);
    case EngineOrderKind.LoadAdapter:
      return inventory.adapters.includes(order.target);
    case EngineOrderKind.LoadVersion:
      return inventory.versions.includes(order.target);
    case EngineOrderKind.ChangeRole:
      return inventory.role === order.target;
  }
}
