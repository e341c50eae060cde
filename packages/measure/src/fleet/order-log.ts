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

/** What an endpoint does with an order that arrives after its deadline. */
export enum LateOrders {
  Dropped = 'dropped',
  CarriedOut = 'carried out',
}

/** Engines that ignore fencing numbers, with a count of what went wrong at them. */
export class OrderLog implements OrderEngine {
  /** Orders that an endpoint was given more than once, or from a holder already replaced. */
  doubleOrders = 0;
  private readonly engines = new Map<Address, ModelEngine>();

  constructor(
    private readonly clock: Clock,
    private readonly lateOrders: LateOrders,
  ) {}

  add(address: Address): ModelEngine {
    const engine = new ModelEngine(this.clock, { checksFencing: false });
    this.engines.set(address, engine);
    return engine;
  }

  remove(address: Address): void {
    this.engines.delete(address);
  }

  order(address: Address, order: EngineOrder): Promise<OrderOutcome> {
    const isLate = this.clock.nowMs() > order.deadlineAtMs;
    if (isLate && this.lateOrders === LateOrders.Dropped) {
      const message = `The order came to ${address} after its deadline.`;
      return Promise.reject(new AnswerLostError(message));
    }
    const engine = this.find(address);
    const isDouble = engine.orders.some(
      earlier =>
        earlier.target === order.target ||
        earlier.fencingNumber > order.fencingNumber,
    );
    if (isDouble) this.doubleOrders += 1;
    return Promise.resolve(engine.applyOrder(order));
  }

  inventory(address: Address): Promise<EngineInventory> {
    return Promise.resolve(this.find(address).inventory());
  }

  private find(address: Address): ModelEngine {
    const engine = this.engines.get(address);
    if (engine === undefined) {
      throw new AnswerLostError(`The endpoint ${address} is gone.`);
    }
    return engine;
  }
}
