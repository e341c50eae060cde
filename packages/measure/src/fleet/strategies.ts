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

/** Strategies for running the fleet that the experiment compares. */
export enum Strategy {
  Spread = 'skylarkreach',
  OnDemandSpread = 'all on demand',
  OnDemandOnly = 'all on demand, no spare',
  Greedy = 'greedy cheapest',
}

export function createStrategyPlanner(
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

/** Planner that delegates to another one with on-demand prices only. */
class OnDemandPlanner implements FleetPlanner {
  constructor(private readonly inner: FleetPlanner) {}

  decide(snapshot: FleetSnapshot, nowMs: number): FleetDecision {
    const prices = snapshot.prices.filter(
      price => price.billing === InstanceBilling.OnDemand,
    );
    return this.inner.decide({ ...snapshot, prices }, nowMs);
  }
}

/** Planner that covers demand and headroom with the cheapest instances of any data centre. */
class GreedyPlanner implements FleetPlanner {
  constructor(private readonly policy: FleetPolicy) {}

  decide(snapshot: FleetSnapshot, nowMs: number): FleetDecision {
    const { policy } = this;
    const { fencingNumber, prices } = snapshot;
    const observed = mergeObservation(
      policy,
      snapshot.plan,
      snapshot,
      fencingNumber,
      nowMs,
    );
    const neededTokensPerSecond = Math.max(
      policy.promisedTokensPerSecond,
      snapshot.demandTokensPerSecond * policy.headroomFactor,
    );
    const offers = availableOffers(policy, prices, observed, nowMs);
    const grownPlan = this.grow(
      observed,
      offers,
      neededTokensPerSecond,
      fencingNumber,
    );
    const plan = this.shrink(grownPlan, neededTokensPerSecond, nowMs);
    return {
      plan,
      actions: actionsBetween(snapshot.plan, plan, nowMs),
      missingTokensPerSecond: 0,
    };
  }

  private grow(
    plan: FleetPlan,
    offers: readonly Offer[],
    neededTokensPerSecond: number,
    fencingNumber: number,
  ): FleetPlan {
    const [cheapest] = [...offers].sort(
      (left, right) =>
        left.pricePerHour / left.tokensPerSecond -
        right.pricePerHour / right.tokensPerSecond,
    );
    let nextPlan = plan;
    while (
      cheapest !== undefined &&
      this.keptTokensPerSecond(nextPlan) < neededTokensPerSecond
    ) {
      const slot: Slot = {
        ...poolOf(cheapest),
        slotId: nextPlan.nextSlotId,
        state: SlotState.Planned,
        fencingNumber,
        pricePerHour: cheapest.pricePerHour,
      };
      const slots = [...nextPlan.slots, slot];
      nextPlan = { ...nextPlan, nextSlotId: nextPlan.nextSlotId + 1, slots };
    }
    return nextPlan;
  }

  private shrink(
    plan: FleetPlan,
    neededTokensPerSecond: number,
    nowMs: number,
  ): FleetPlan {
    let spareTokensPerSecond =
      this.keptTokensPerSecond(plan) - neededTokensPerSecond;
    const endsAtMs = nowMs + this.policy.drainMs;
    const slots = plan.slots.map(slot => {
      const tokens = capacityOf(this.policy, slot.machineClass);
      if (slot.state !== SlotState.Ready || tokens > spareTokensPerSecond)
        return slot;
      spareTokensPerSecond -= tokens;
      return { ...slot, state: SlotState.Draining, endsAtMs };
    });
    return { ...plan, slots };
  }

  private keptTokensPerSecond(plan: FleetPlan): number {
    return plan.slots
      .filter(isKept)
      .reduce(
        (sum, slot) => sum + capacityOf(this.policy, slot.machineClass),
        0,
      );
  }
}
