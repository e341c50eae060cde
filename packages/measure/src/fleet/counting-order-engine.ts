import type { OrderEngine } from '@skylarkreach/core/fleet';
import type {
  Address,
  Clock,
  EngineInventory,
  EngineOrder,
  OrderOutcome,
} from '@skylarkreach/core/ports';
import { AnswerLostError } from '@skylarkreach/core/ports';
import { ModelEngine } from '@skylarkreach/stand-ins';

/** How an endpoint handles an order that arrives after its deadline. */
export enum LateOrderHandling {
  Dropped = 'dropped',
  Executed = 'carried out',
}

/** Engines that do not check fencing tokens, with a count of the duplicate and stale orders that they receive. */
export class CountingOrderEngine implements OrderEngine {
  /** Orders that an endpoint received more than once, or from a lease holder that had been replaced. */
  doubleOrders = 0;
  private readonly engines = new Map<Address, ModelEngine>();

  constructor(
    private readonly clock: Clock,
    private readonly lateOrders: LateOrderHandling,
  ) {}

  addEngine(address: Address): ModelEngine {
    const engine = new ModelEngine(this.clock, { checksFencing: false });
    this.engines.set(address, engine);
    return engine;
  }

  removeEngine(address: Address): void {
    this.engines.delete(address);
  }

  order(address: Address, order: EngineOrder): Promise<OrderOutcome> {
    const isLate = this.clock.nowMs() > order.deadlineAtMs;
    if (isLate && this.lateOrders === LateOrderHandling.Dropped) {
      const message = `The order reached ${address} after its deadline.`;
      return Promise.reject(new AnswerLostError(message));
    }
    const engine = this.find(address);
    const isDuplicate = engine.orders.some(
      earlierOrder =>
        earlierOrder.target === order.target ||
        earlierOrder.fencingNumber > order.fencingNumber,
    );
    if (isDuplicate) this.doubleOrders += 1;
    return Promise.resolve(engine.applyOrder(order));
  }

  inventory(address: Address): Promise<EngineInventory> {
    return Promise.resolve(this.find(address).inventory());
  }

  private find(address: Address): ModelEngine {
    const engine = this.engines.get(address);
    if (engine === undefined) {
      throw new AnswerLostError(`No endpoint is running at ${address}.`);
    }
    return engine;
  }
}
