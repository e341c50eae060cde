import type { Price } from '../ports/index.js';
import type { Allocation } from './allocate.js';
import { allocate } from './allocate.js';
import { Capacity } from './capacity.js';
import type { FleetPlan, Slot } from './fleet-plan.js';
import { isKept, isReady, SlotState } from './fleet-plan.js';
import type { FleetPolicy } from './fleet-policy.js';
import { capacityOf, poolKey, poolOf } from './fleet-policy.js';
import type { FleetObservation } from './observe.js';
import { observe } from './observe.js';
import type { Offer } from './offers.js';
import { availableOffers } from './offers.js';
import { recordRefusal } from './refusals.js';

/** All that one decision of the planner depends on. */
export interface FleetSnapshot extends FleetObservation {
  readonly plan: FleetPlan;
  readonly prices: readonly Price[];
  /** Load that callers ask for at present, in tokens a second. */
  readonly demandTokensPerSecond: number;
  /** Fencing number of the lease that the planner acts under. */
  readonly fencingNumber: number;
}

export enum FleetActionKind {
  Start = 'start',
  Drain = 'drain',
  Stop = 'stop',
}

/** One change of the fleet; it is carried out only once the plan is stored. */
export interface FleetAction {
  readonly kind: FleetActionKind;
  readonly slot: Slot;
}

export interface FleetDecision {
  readonly plan: FleetPlan;
  readonly actions: readonly FleetAction[];
  /** Load that the loss of one data centre would leave unserved, in tokens a second. */
  readonly missingTokensPerSecond: number;
}

/** Decides which instances the fleet should have. */
export interface FleetPlanner {
  decide(snapshot: FleetSnapshot, nowMs: number): FleetDecision;
}

const REBALANCE_PRICE_FACTOR = 0.8;
const REBALANCE_SHARE = 0.25;

/** Planner that keeps the promised load through the loss of any one data centre at least cost. */
export class SpreadFleetPlanner implements FleetPlanner {
  constructor(private readonly policy: FleetPolicy) {}

  decide(snapshot: FleetSnapshot, nowMs: number): FleetDecision {
    const { plan, fencingNumber } = snapshot;
    const observed = observe(this.policy, plan, snapshot, fencingNumber, nowMs);
    const current = this.retireLate(this.reprice(observed, snapshot), nowMs);
    const peaked = this.holdPeak(current, snapshot, nowMs);
    const { prices } = snapshot;
    const offers = availableOffers(this.policy, prices, peaked, nowMs);
    const needed = peaked.peakTokensPerSecond;
    const kept = peaked.slots.filter(isKept);
    const wanted = allocate(this.policy, kept, offers, needed);
    const grown = addSlots(peaked, wanted, fencingNumber);
    const next =
      wanted.additions.length > 0
        ? { ...grown, shrinkAtMs: undefined, rebalanceAtMs: undefined }
        : this.improve(grown, offers, fencingNumber, nowMs);
    return {
      plan: next,
      actions: actionsOf(plan, next, nowMs),
      missingTokensPerSecond: wanted.missingTokensPerSecond,
    };
  }

  /** Demand with headroom, never below the promise and held at its peak for a while. */
  private holdPeak(
    plan: FleetPlan,
    snapshot: FleetSnapshot,
    nowMs: number,
  ): FleetPlan {
    const { headroomFactor, peakHoldMs, promisedTokensPerSecond } = this.policy;
    const wanted = Math.max(
      promisedTokensPerSecond,
      snapshot.demandTokensPerSecond * headroomFactor,
    );
    const isHeld =
      nowMs < plan.peakUntilMs && wanted <= plan.peakTokensPerSecond;
    if (isHeld) return plan;
    return {
      ...plan,
      peakTokensPerSecond: wanted,
      peakUntilMs: nowMs + peakHoldMs,
    };
  }

  private reprice(plan: FleetPlan, snapshot: FleetSnapshot): FleetPlan {
    const prices = new Map(
      snapshot.prices.map(price => [poolKey(price), price.pricePerHour]),
    );
    const slots = plan.slots.map(slot => ({
      ...slot,
      pricePerHour: prices.get(poolKey(slot)) ?? slot.pricePerHour,
    }));
    return { ...plan, slots };
  }

  /** Drains instances that were not ready by their deadline, so that others take their place. */
  private retireLate(plan: FleetPlan, nowMs: number): FleetPlan {
    let next = plan;
    const slots = plan.slots.map(slot => {
      const readyByAtMs = slot.readyByAtMs ?? nowMs + 1;
      const isLate = slot.state === SlotState.Started && nowMs >= readyByAtMs;
      if (!isLate) return slot;
      next = recordRefusal(this.policy, next, slot, nowMs);
      return { ...slot, state: SlotState.Draining, endsAtMs: nowMs };
    });
    return { ...next, slots };
  }

  /** Follows a surplus or cheaper offers once they have lasted. */
  private improve(
    plan: FleetPlan,
    offers: readonly Offer[],
    fencingNumber: number,
    nowMs: number,
  ): FleetPlan {
    const surplus = this.surplusOf(plan);
    if (surplus.length > 0) return this.shrink(plan, surplus, nowMs);
    const settled = { ...plan, shrinkAtMs: undefined };
    const isMoving = plan.slots.some(slot => isKept(slot) && !isReady(slot));
    if (isMoving) return settled;
    return this.rebalance(settled, offers, fencingNumber, nowMs);
  }

  private shrink(
    plan: FleetPlan,
    surplus: readonly Slot[],
    nowMs: number,
  ): FleetPlan {
    if (plan.shrinkAtMs === undefined) {
      return { ...plan, shrinkAtMs: nowMs + this.policy.settleDelayMs };
    }
    if (nowMs < plan.shrinkAtMs) return plan;
    const endsAtMs = nowMs + this.policy.drainMs;
    const drained = new Set(surplus.map(slot => slot.slotId));
    const slots = plan.slots.map(slot =>
      drained.has(slot.slotId)
        ? { ...slot, state: SlotState.Draining, endsAtMs }
        : slot,
    );
    return { ...plan, slots, shrinkAtMs: undefined };
  }

  /** Ready slots that can go, dearest first, while the ready rest still holds the load. */
  private surplusOf(plan: FleetPlan): readonly Slot[] {
    const ready = plan.slots.filter(isReady);
    const capacity = new Capacity(this.policy, ready);
    const needed = plan.peakTokensPerSecond;
    const byPrice = [...ready].sort(
      (left, right) => this.unitPrice(right) - this.unitPrice(left),
    );
    return byPrice.filter(slot => {
      capacity.remove(slot);
      if (capacity.guaranteedTokensPerSecond >= needed) return true;
      capacity.add(slot);
      return false;
    });
  }

  /** Starts cheaper instances in place of the dearest; the surplus then drains those. */
  private rebalance(
    plan: FleetPlan,
    offers: readonly Offer[],
    fencingNumber: number,
    nowMs: number,
  ): FleetPlan {
    const kept = plan.slots.filter(isKept);
    const count = Math.ceil(kept.length * REBALANCE_SHARE);
    const byPrice = [...kept].sort(
      (left, right) => this.unitPrice(right) - this.unitPrice(left),
    );
    const rest = byPrice.slice(count);
    const needed = plan.peakTokensPerSecond;
    const wanted = allocate(this.policy, rest, offers, needed);
    const pricePerHour = sumPrices(byPrice.slice(0, count));
    const isWorth =
      wanted.missingTokensPerSecond === 0 &&
      wanted.weightedPrice < pricePerHour * REBALANCE_PRICE_FACTOR;
    if (!isWorth) return { ...plan, rebalanceAtMs: undefined };
    if (plan.rebalanceAtMs === undefined) {
      return { ...plan, rebalanceAtMs: nowMs + this.policy.settleDelayMs };
    }
    if (nowMs < plan.rebalanceAtMs) return plan;
    const grown = addSlots(plan, wanted, fencingNumber);
    return { ...grown, rebalanceAtMs: undefined };
  }

  private unitPrice(slot: Slot): number {
    return slot.pricePerHour / capacityOf(this.policy, slot.machineClass);
  }
}

function addSlots(
  plan: FleetPlan,
  wanted: Allocation,
  fencingNumber: number,
): FleetPlan {
  const slots = wanted.additions.map((offer, index): Slot => ({
    ...poolOf(offer),
    slotId: plan.nextSlotId + index,
    state: SlotState.Planned,
    fencingNumber,
    pricePerHour: offer.pricePerHour,
  }));
  return {
    ...plan,
    nextSlotId: plan.nextSlotId + slots.length,
    slots: [...plan.slots, ...slots],
  };
}

/** Changes that lead from one plan to the next; starts and stops are repeated until they are answered. */
export function actionsOf(
  before: FleetPlan,
  after: FleetPlan,
  nowMs: number,
): readonly FleetAction[] {
  const states = new Map(before.slots.map(slot => [slot.slotId, slot.state]));
  return after.slots.flatMap((slot): FleetAction[] => {
    if (slot.state === SlotState.Planned) {
      return [{ kind: FleetActionKind.Start, slot }];
    }
    if (slot.state !== SlotState.Draining) return [];
    if (nowMs >= (slot.endsAtMs ?? 0)) {
      return [{ kind: FleetActionKind.Stop, slot }];
    }
    const isNew = states.get(slot.slotId) !== SlotState.Draining;
    return isNew ? [{ kind: FleetActionKind.Drain, slot }] : [];
  });
}

function sumPrices(slots: readonly Slot[]): number {
  return slots.reduce((total, slot) => total + slot.pricePerHour, 0);
}
