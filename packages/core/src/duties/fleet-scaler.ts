import type {
  EndpointRecord,
  ForwardGroup,
  ScalingSettings,
} from '../forwarding/index.js';
import type { Clock, DataCentre, Log } from '../ports/index.js';
import { LogComponent, PlatformError } from '../ports/index.js';
import type { DutyApi, FencingToken, ScalingOrder } from './duty-api.js';
import { ScalingOutcome } from './duty-api.js';
import type { FleetState, LastOrder } from './fleet-plan.js';
import {
  BOOT_TIME_FACTOR,
  DEFAULT_IN_FLIGHT_PER_ENDPOINT,
  planFleet,
} from './fleet-plan.js';
import type { LearnedCapacities } from './learned-capacities.js';
import { ProvisionedCapacity } from './provisioned-capacity.js';
import { SlidingWindowMax } from './sliding-window-max.js';

const CALL_TIMEOUT_MS = 800;
/** Interval at which an accepted order is sent again. */
const REISSUE_INTERVAL_MS = 10_000; // an instance of the platform may fail after it has accepted an order, and lose it
/** Time after which an order for unavailable endpoints is sent again. */
const UNAVAILABLE_RETRY_MS = 2_000; // a seventh of the shortest period in which none are available
/** Time for which the endpoints of a load peak are kept. */
const PEAK_WINDOW_MS = 8_000; // twice the time in which an endpoint starts

export interface FleetScalerDependencies {
  readonly clock: Clock;
  readonly dutyApi: DutyApi;
  readonly log: Log;
  readonly groups: () => readonly ForwardGroup[];
  readonly endpoints: () => readonly EndpointRecord[];
  /** Returns the requests in flight at a group's endpoints, from all daemons. */
  readonly runningIn: (group: string) => number;
  /** Time from which the list of endpoints can be relied on to be complete. */
  readonly firstPlanAtMs: number;
  /** Whether a data centre is to be left as it is, and its endpoints are not to count. */
  readonly isEvacuated: (dataCentre: DataCentre) => boolean;
  /** Absent if the same load is planned for the endpoints of all groups. */
  readonly capacities?: LearnedCapacities | undefined;
}

/** Last order sent for one kind of endpoint in a data centre. */
interface IssuedOrder {
  readonly order: ScalingOrder;
  readonly outcome: ScalingOutcome;
  /** Time of the last order that raised the count or changed the outcome. */
  readonly pendingSinceMs: number;
  readonly reissueAtMs: number;
}

/** Orders the endpoints that serve the load at the lowest price. */
export class FleetScaler {
  private readonly issuedOrders = new Map<string, IssuedOrder>();
  /** Load peaks, by group. */
  private readonly peaks = new Map<string, SlidingWindowMax>();
  /** Endpoints found at the first plan under the fencing number, by group. */
  private readonly provisioned = new Map<string, ProvisionedCapacity>();
  private fencingNumber: number | undefined;

  constructor(private readonly deps: FleetScalerDependencies) {}

  /** Number of groups of which something is kept. */
  get groupCount(): number {
    const ordered = [...this.issuedOrders.values()].map(
      ({ order }) => order.group,
    );
    const learned = this.deps.capacities?.groupNames ?? [];
    const names = [
      ...this.peaks.keys(),
      ...this.provisioned.keys(),
      ...learned,
    ];
    return new Set([...ordered, ...names]).size;
  }

  /** Sends the orders that are due. `currentToken` returns undefined once the lease is lost. */
  async step(currentToken: () => FencingToken | undefined): Promise<void> {
    const initialToken = currentToken();
    if (initialToken === undefined) return;
    // An order made from an incomplete list would end endpoints that are not listed yet.
    if (this.deps.clock.nowMs() < this.deps.firstPlanAtMs) return;
    if (this.fencingNumber !== initialToken.fencingNumber) {
      this.fencingNumber = initialToken.fencingNumber;
      this.issuedOrders.clear();
      // Another daemon planned meanwhile, and the load of that time was not observed.
      this.peaks.clear();
      this.provisioned.clear();
      this.deps.capacities?.clear();
    }
    const groups = this.deps.groups();
    this.retainGroups(new Set(groups.map(group => group.name)));
    for (const group of groups) {
      const { scaling } = group;
      if (scaling === undefined) continue;
      for (const order of this.plan(group, scaling)) {
        const token = currentToken();
        if (token === undefined) return;
        // The evacuation may have begun during the call before.
        if (this.deps.isEvacuated(order.dataCentre)) continue;
        await this.issue(order, token);
      }
    }
  }

  /** Forgets the groups that are no longer configured. */
  private retainGroups(names: ReadonlySet<string>): void {
    for (const byGroup of [this.peaks, this.provisioned]) {
      for (const name of byGroup.keys())
        if (!names.has(name)) byGroup.delete(name);
    }
    this.deps.capacities?.retain(names);
    for (const [key, { order }] of this.issuedOrders)
      if (!names.has(order.group)) this.issuedOrders.delete(key);
  }

  private plan(
    forwardGroup: ForwardGroup,
    scaling: ScalingSettings,
  ): readonly ScalingOrder[] {
    const { capacities, clock, endpoints, isEvacuated, runningIn } = this.deps;
    const group = forwardGroup.name;
    const nowMs = clock.nowMs();
    const peak = this.peaks.get(group) ?? new SlidingWindowMax(PEAK_WINDOW_MS);
    this.peaks.set(group, peak);
    const inFlight = runningIn(group);
    peak.add(inFlight, nowMs);
    const peakInFlight = peak.max(nowMs);
    const members = endpoints().filter(
      each => each.group === group && !isEvacuated(each.dataCentre),
    );
    const kept = this.provisionedFor(group).kept(
      members,
      peakInFlight > 0,
      nowMs,
    );
    const openScaling = this.withoutEvacuated(scaling);
    const openGroup = { ...forwardGroup, scaling: openScaling };
    const inFlightPerEndpoint =
      capacities?.step(openGroup, members, inFlight, nowMs) ??
      DEFAULT_IN_FLIGHT_PER_ENDPOINT;
    const plannedCounts = planFleet({
      scaling: openScaling,
      endpoints: members,
      peakInFlight,
      inFlightPerEndpoint,
      minRequired: kept.count,
      provisionedOnDemand: kept.onDemandCount,
      ...this.lastOrders(group, scaling.bootMs),
    });
    const orders = plannedCounts.map(planned => ({ group, ...planned }));
    // The limit of a data centre covers both kinds: orders that free capacity go before those that use it.
    return orders.sort(
      (left, right) => this.countIncrease(left) - this.countIncrease(right),
    );
  }

  private provisionedFor(group: string): ProvisionedCapacity {
    const known = this.provisioned.get(group);
    if (known !== undefined) return known;
    const provisioned = new ProvisionedCapacity(PEAK_WINDOW_MS);
    this.provisioned.set(group, provisioned);
    return provisioned;
  }

  /** Returns the settings of the data centres that may get orders. */
  private withoutEvacuated(scaling: ScalingSettings): ScalingSettings {
    const prices = Object.entries(scaling.pricesByDataCentre).filter(
      ([dataCentre]) => !this.deps.isEvacuated(dataCentre),
    );
    return { ...scaling, pricesByDataCentre: Object.fromEntries(prices) };
  }

  /** Returns the count of an order minus that of the order before it. */
  private countIncrease(order: ScalingOrder): number {
    return (
      order.count - (this.issuedOrders.get(orderKey(order))?.order.count ?? 0)
    );
  }

  private lastOrders(
    group: string,
    bootMs: number,
  ): Pick<FleetState, 'onDemandOrders' | 'reclaimableOrders'> {
    const nowMs = this.deps.clock.nowMs();
    const onDemandOrders = new Map<DataCentre, LastOrder>();
    const reclaimableOrders = new Map<DataCentre, LastOrder>();
    for (const {
      order,
      outcome,
      pendingSinceMs,
    } of this.issuedOrders.values()) {
      if (order.group !== group) continue;
      const orders = order.isReclaimable ? reclaimableOrders : onDemandOrders;
      orders.set(order.dataCentre, {
        count: order.count,
        isAccepted: outcome === ScalingOutcome.Accepted,
        isPending: nowMs < pendingSinceMs + bootMs * BOOT_TIME_FACTOR,
      });
    }
    return { onDemandOrders, reclaimableOrders };
  }

  /** Sends an order, unless the same one was sent too recently. */
  private async issue(order: ScalingOrder, token: FencingToken): Promise<void> {
    const { dutyApi, clock, log } = this.deps;
    const { count } = order;
    const key = orderKey(order);
    const previous = this.issuedOrders.get(key);
    const nowMs = clock.nowMs();
    const isSameCount = previous?.order.count === count;
    if (isSameCount && nowMs < previous.reissueAtMs) return;
    try {
      const deadlineAtMs = nowMs + CALL_TIMEOUT_MS;
      const outcome = await dutyApi.orderEndpoints(order, {
        token,
        deadlineAtMs,
      });
      const isAccepted = outcome === ScalingOutcome.Accepted;
      const delayMs = isAccepted ? REISSUE_INTERVAL_MS : UNAVAILABLE_RETRY_MS;
      const hasGrown = count > (previous?.order.count ?? 0);
      const isUnchanged = previous?.outcome === outcome && !hasGrown;
      this.issuedOrders.set(key, {
        order,
        outcome,
        pendingSinceMs: isUnchanged ? previous.pendingSinceMs : nowMs,
        reissueAtMs: nowMs + delayMs,
      });
      log.info(LogComponent.Duties, 'Endpoints are ordered.', {
        ...order,
        outcome,
      });
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      log.warn(LogComponent.Duties, 'A scaling order failed.', {
        ...order,
        error: error.message,
      });
    }
  }
}

function orderKey({ dataCentre, group, isReclaimable }: ScalingOrder): string {
  return `${group} ${dataCentre} ${String(isReclaimable)}`;
}
