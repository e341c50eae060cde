import type {
  Address,
  Clock,
  Engine,
  EngineInventory,
  Lease,
} from '../ports/index.js';
import { EngineOrderKind, PlatformError } from '../ports/index.js';
import type { FleetPlan, OrderRecord } from './fleet-plan.js';
import type { LeaseGuard } from './lease-guard.js';
import { markOrderDone, renewOrder } from './order-schedule.js';

/** The calls of an engine that orders need. */
export type OrderEngine = Pick<Engine, 'order' | 'inventory'>;

/** Whether the endpoints of a fleet refuse an order with an old fencing number. */
export enum FencingCheck {
  Checked = 'checked',
  Ignored = 'ignored',
}

export interface OrderRunnerOptions {
  readonly fleet: string;
  readonly fencingCheck: FencingCheck;
  /** Time after its load from the store by which an order's effect must show. */
  readonly effectTimeoutMs: number;
  /** Time between two looks at an endpoint whose orders are all done. */
  readonly verifyIntervalMs: number;
}

export enum OrderProgress {
  Sent = 'sent',
  Done = 'done',
  /** The endpoint took the order and does not show its effect. */
  Lost = 'lost',
}

export interface OrderResult {
  readonly orderId: string;
  readonly progress: OrderProgress;
}

/**
 * Carries out the orders of a stored plan, under a lease. An endpoint is read
 * back before each order, once no earlier order to it can still arrive.
 */
export class OrderRunner {
  /** Time until which an order sent from here may still arrive. */
  private readonly openUntilMs = new Map<string, number>();
  private readonly verifyAtMs = new Map<Address, number>();

  constructor(
    private readonly engine: OrderEngine,
    private readonly clock: Clock,
    private readonly guard: LeaseGuard,
    private readonly options: OrderRunnerOptions,
  ) {}

  async run(plan: FleetPlan): Promise<readonly OrderResult[]> {
    const byAddress = new Map<Address, OrderRecord[]>();
    for (const order of plan.orders.filter(each => this.isDue(each))) {
      const others = byAddress.get(order.address) ?? [];
      byAddress.set(order.address, [...others, order]);
    }
    this.forgetOld(plan);
    const results = await Promise.all(
      [...byAddress].map(entry => this.runEndpoint(...entry)),
    );
    return results.flat();
  }

  private isDue(order: OrderRecord): boolean {
    const lease = this.guard.current();
    const nowMs = this.clock.nowMs();
    if (lease === undefined || nowMs < order.notBeforeAtMs) return false;
    const isUnfenced = this.options.fencingCheck === FencingCheck.Ignored;
    if (order.done && !(isUnfenced && this.isVerifyDue(order))) return false;
    if (nowMs < (this.openUntilMs.get(this.idOf(order)) ?? 0)) return false;
    const isInherited = order.fencingNumber < lease.fencingNumber;
    const mayArriveLate = isUnfenced || isInherited;
    return !mayArriveLate || nowMs >= this.guard.settledAtMs();
  }

  /** An endpoint that ignores fencing numbers is read again now and then. */
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
        const progress = await this.advance(order, inventory);
        if (progress !== undefined) {
          results.push({ orderId: order.orderId, progress });
        }
      }
    } catch (error) {
      // The next step reads the endpoint back and goes on.
      if (!(error instanceof PlatformError)) throw error;
    }
    return results;
  }

  private async advance(
    order: OrderRecord,
    inventory: EngineInventory,
  ): Promise<OrderProgress | undefined> {
    if (shows(inventory, order)) {
      return order.done ? undefined : OrderProgress.Done;
    }
    if (order.done) return OrderProgress.Lost;
    if (inventory.orderIds.includes(this.idOf(order))) {
      const limitMs = order.storeUntilMs + this.options.effectTimeoutMs;
      return this.clock.nowMs() > limitMs ? OrderProgress.Lost : undefined;
    }
    const lease = this.guard.current();
    if (lease === undefined) return undefined;
    await this.send(order, lease);
    return OrderProgress.Sent;
  }

  /** The lease was read without a wait before this call; nothing may be awaited in between. */
  private async send(order: OrderRecord, lease: Lease): Promise<void> {
    const orderId = this.idOf(order);
    const deadlineAtMs = this.guard.callDeadlineMs();
    this.openUntilMs.set(orderId, deadlineAtMs);
    await this.engine.order(order.address, {
      orderId,
      kind: order.kind,
      target: order.target,
      fencingNumber: lease.fencingNumber,
      deadlineAtMs,
    });
  }

  private idOf(order: OrderRecord): string {
    return `${this.options.fleet}-${order.orderId}`;
  }

  private forgetOld(plan: FleetPlan): void {
    const addresses = new Set(plan.orders.map(order => order.address));
    for (const address of this.verifyAtMs.keys()) {
      if (!addresses.has(address)) this.verifyAtMs.delete(address);
    }
    const known = new Set(plan.orders.map(order => this.idOf(order)));
    for (const orderId of this.openUntilMs.keys()) {
      if (!known.has(orderId)) this.openUntilMs.delete(orderId);
    }
  }
}

/** The plan with what the endpoints showed. */
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
        return renewOrder(next, orderId);
    }
  }, plan);
}

/** Whether the endpoint holds what the order asks for. */
function shows(inventory: EngineInventory, order: OrderRecord): boolean {
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
