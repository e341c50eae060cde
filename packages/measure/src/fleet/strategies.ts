import type {
  FleetDecision,
  FleetPlan,
  FleetPlanner,
  FleetPolicy,
  FleetSnapshot,
  Offer,
  Slot,
} from '@skylarkreach/core/fleet';
import {
  actionsBetween,
  availableOffers,
  capacityOf,
  isKept,
  mergeObservation,
  poolOf,
  SlotState,
  SpreadFleetPlanner,
} from '@skylarkreach/core/fleet';
import { InstanceBilling } from '@skylarkreach/core/ports';

export enum Strategy {
  Spread = 'skylarkreach',
  OnDemandSpread = 'all on demand',
  OnDemandOnly = 'all on demand, no spare',
  Greedy = 'greedy cheapest',
}

export function plannerOf(
  strategy: Strategy,
  policy: FleetPolicy,
): FleetPlanner {
  switch (strategy) {
    case Strategy.Spread:
      return new SpreadFleetPlanner(policy);
    case Strategy.OnDemandSpread:
      return new OnDemandPlanner(new SpreadFleetPlanner(policy));
    case Strategy.OnDemandOnly:
      return new OnDemandPlanner(new GreedyPlanner(policy));
    case Strategy.Greedy:
      return new GreedyPlanner(policy);
  }
}

/** Hides reclaimable offers from another planner. */
class OnDemandPlanner implements FleetPlanner {
  constructor(private readonly inner: FleetPlanner) {}

  decide(snapshot: FleetSnapshot, nowMs: number): FleetDecision {
    const prices = snapshot.prices.filter(
      price => price.billing === InstanceBilling.OnDemand,
    );
    return this.inner.decide({ ...snapshot, prices }, nowMs);
  }
}

/** Keeps the demand with headroom on the cheapest instances, wherever they are. */
class GreedyPlanner implements FleetPlanner {
  constructor(private readonly policy: FleetPolicy) {}

  decide(snapshot: FleetSnapshot, nowMs: number): FleetDecision {
    const { policy } = this;
    const { fencingNumber, prices } = snapshot;
    const seen = mergeObservation(
      policy,
      snapshot.plan,
      snapshot,
      fencingNumber,
      nowMs,
    );
    const needed = Math.max(
      policy.promisedTokensPerSecond,
      snapshot.demandTokensPerSecond * policy.headroomFactor,
    );
    const offers = availableOffers(policy, prices, seen, nowMs);
    const grown = this.grow(seen, offers, needed, fencingNumber);
    const plan = this.shrink(grown, needed, nowMs);
    return {
      plan,
      actions: actionsBetween(snapshot.plan, plan, nowMs),
      missingTokensPerSecond: 0,
    };
  }

  private grow(
    plan: FleetPlan,
    offers: readonly Offer[],
    needed: number,
    fencingNumber: number,
  ): FleetPlan {
    const [cheapest] = [...offers].sort(
      (left, right) =>
        left.pricePerHour / left.tokensPerSecond -
        right.pricePerHour / right.tokensPerSecond,
    );
    let next = plan;
    while (cheapest !== undefined && this.kept(next) < needed) {
      const slot: Slot = {
        ...poolOf(cheapest),
        slotId: next.nextSlotId,
        state: SlotState.Planned,
        fencingNumber,
        pricePerHour: cheapest.pricePerHour,
      };
      const slots = [...next.slots, slot];
      next = { ...next, nextSlotId: next.nextSlotId + 1, slots };
    }
    return next;
  }

  private shrink(plan: FleetPlan, needed: number, nowMs: number): FleetPlan {
    let spare = this.kept(plan) - needed;
    const endsAtMs = nowMs + this.policy.drainMs;
    const slots = plan.slots.map(slot => {
      const tokens = capacityOf(this.policy, slot.machineClass);
      if (slot.state !== SlotState.Ready || tokens > spare) return slot;
      spare -= tokens;
      return { ...slot, state: SlotState.Draining, endsAtMs };
    });
    return { ...plan, slots };
  }

  private kept(plan: FleetPlan): number {
    return plan.slots
      .filter(isKept)
      .reduce(
        (sum, slot) => sum + capacityOf(this.policy, slot.machineClass),
        0,
      );
  }
}
