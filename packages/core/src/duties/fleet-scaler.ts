import type {
  EndpointRecord,
  ForwardGroup,
  ScalingSettings,
} from '../forwarding/index.js';
import type { Clock, DataCentre, Log } from '../ports/index.js';
import { LogPart, PlatformError } from '../ports/index.js';
import type { DutyCalls, DutyProof, ScalingOrder } from './duty-calls.js';
import { OrderOutcome } from './duty-calls.js';
import type { FleetSituation, LastOrder } from './fleet-plan.js';
import { planFleet } from './fleet-plan.js';
import { RecentPeak } from './recent-peak.js';

const CALL_TIMEOUT_MS = 800;
/** Time after which an order that was accepted is given again. */
const REPEAT_MS = 10_000; // an order may be lost with an instance that answered it
/** Time after which endpoints that were not to be had are ordered again. */
const UNAVAILABLE_MS = 2_000; // a seventh of the shortest time without any
/** Time in which an endpoint is expected to serve, as a multiple of its boot time. */
const BOOT_MARGIN = 1.5; // the list tells of it up to a second later
/** Time for which a peak of the load keeps its endpoints. */
const PEAK_MS = 8_000; // twice the time in which an endpoint starts

export interface FleetScalerParts {
  readonly clock: Clock;
  readonly calls: DutyCalls;
  readonly log: Log;
  readonly groups: () => readonly ForwardGroup[];
  readonly endpoints: () => readonly EndpointRecord[];
  /** Requests in flight at a group's endpoints, of all daemons. */
  readonly runningIn: (group: string) => number;
}

interface GivenOrder {
  readonly order: ScalingOrder;
  readonly outcome: OrderOutcome;
  /** Time of the last order that asked for more or had another outcome. */
  readonly sinceMs: number;
  readonly nextAtMs: number;
}

/** Orders endpoints so that the load is carried at the least price. */
export class FleetScaler {
  private readonly given = new Map<string, GivenOrder>();
  private readonly peaks = new Map<string, RecentPeak>();
  private fencingNumber: number | undefined;

  constructor(private readonly parts: FleetScalerParts) {}

  /** Gives the orders that are due. `proof` returns undefined once the duty is lost. */
  async step(proof: () => DutyProof | undefined): Promise<void> {
    const current = proof();
    if (current === undefined) return;
    if (this.fencingNumber !== current.fencingNumber) {
      this.fencingNumber = current.fencingNumber;
      this.given.clear();
    }
    for (const { name, scaling } of this.parts.groups()) {
      if (scaling === undefined) continue;
      for (const order of this.plan(name, scaling)) {
        const still = proof();
        if (still === undefined) return;
        await this.give(order, still);
      }
    }
  }

  private plan(
    group: string,
    scaling: ScalingSettings,
  ): readonly ScalingOrder[] {
    const { clock, endpoints, runningIn } = this.parts;
    const nowMs = clock.nowMs();
    const peak = this.peaks.get(group) ?? new RecentPeak(PEAK_MS);
    this.peaks.set(group, peak);
    peak.add(runningIn(group), nowMs);
    const counts = planFleet({
      scaling,
      endpoints: endpoints().filter(each => each.group === group),
      running: peak.value(nowMs),
      ...this.lastOrders(group, scaling.bootMs),
    });
    const orders = counts.map(each => ({ group, ...each }));
    // Limits hold for both kinds together: what shrinks makes room for what grows.
    return orders.sort((left, right) => this.growth(left) - this.growth(right));
  }

  /** Endpoints that an order asks for beyond the one before. */
  private growth(order: ScalingOrder): number {
    return order.count - (this.given.get(keyOf(order))?.order.count ?? 0);
  }

  private lastOrders(
    group: string,
    bootMs: number,
  ): Pick<FleetSituation, 'onDemandOrders' | 'reclaimableOrders'> {
    const nowMs = this.parts.clock.nowMs();
    const onDemandOrders = new Map<DataCentre, LastOrder>();
    const reclaimableOrders = new Map<DataCentre, LastOrder>();
    for (const { order, outcome, sinceMs } of this.given.values()) {
      if (order.group !== group) continue;
      const orders = order.isReclaimable ? reclaimableOrders : onDemandOrders;
      orders.set(order.dataCentre, {
        count: order.count,
        isAccepted: outcome === OrderOutcome.Accepted,
        isRecent: nowMs < sinceMs + bootMs * BOOT_MARGIN,
      });
    }
    return { onDemandOrders, reclaimableOrders };
  }

  private async give(order: ScalingOrder, proof: DutyProof): Promise<void> {
    const { calls, clock, log } = this.parts;
    const { count } = order;
    const key = keyOf(order);
    const before = this.given.get(key);
    const nowMs = clock.nowMs();
    const isSame = before?.order.count === count;
    if (isSame && nowMs < before.nextAtMs) return;
    try {
      const outcome = await calls.order(order, proof, nowMs + CALL_TIMEOUT_MS);
      const isAccepted = outcome === OrderOutcome.Accepted;
      const waitMs = isAccepted ? REPEAT_MS : UNAVAILABLE_MS;
      const hasGrown = count > (before?.order.count ?? 0);
      const isLike = before?.outcome === outcome && !hasGrown;
      this.given.set(key, {
        order,
        outcome,
        sinceMs: isLike ? before.sinceMs : nowMs,
        nextAtMs: nowMs + waitMs,
      });
      log.info(LogPart.Duties, 'Endpoints are ordered.', {
        ...order,
        outcome,
      });
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(LogPart.Duties, 'An order was not taken.', {
        ...order,
        error: error.message,
      });
    }
  }
}

function keyOf({ dataCentre, group, isReclaimable }: ScalingOrder): string {
  return `${group} ${dataCentre} ${String(isReclaimable)}`;
}
