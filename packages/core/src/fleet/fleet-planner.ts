import type { Price } from '../ports/index.js';
import type { Allocation } from './allocate.js';
import { allocate } from './allocate.js';
import { Capacity } from './capacity.js';
import type { FleetPlan, Slot } from './fleet-plan.js';
import { isKept, isReady, SlotState } from './fleet-plan.js';
import type { FleetPolicy } from './fleet-policy.js';
import { capacityOf, poolKey, poolOf } from './fleet-policy.js';
import type { FleetObservation } from './merge-observation.js';
import { mergeObservation } from './merge-observation.js';
import type { Offer } from './offers.js';
import { availableOffers } from './offers.js';
import { recordRefusal } from './refusals.js';

/** Input of one planner decision. */
export interface FleetSnapshot extends FleetObservation {
  readonly plan: FleetPlan;
  readonly prices: readonly Price[];
  /** Current demand, in tokens per second. */
  readonly demandTokensPerSecond: number;
  /** Fencing number of the lease under which the planner runs. */
  readonly fencingNumber: number;
}

export enum FleetActionKind {
  Start = 'start',
  Drain = 'drain',
  Stop = 'stop',
}

/** Change of one slot, carried out only after the plan has been stored. */
export interface FleetAction {
  readonly kind: FleetActionKind;
  readonly slot: Slot;
}

export interface FleetDecision {
  readonly plan: FleetPlan;
  readonly actions: readonly FleetAction[];
  /** Shortfall after the loss of the data centre with the highest capacity, in tokens per second. */
  readonly missingTokensPerSecond: number;
}

/** Decides which instances the fleet should start, drain and stop. */
export interface FleetPlanner {
  decide(snapshot: FleetSnapshot, nowMs: number): FleetDecision;
}

/** Replacements must cost less than this share of the price of the slots that they replace. */
const MAX_REBALANCE_PRICE_RATIO = 0.8;
/** Share of the kept slots that one rebalance tries to replace. */
const REBALANCE_SHARE = 0.25;

/**
 * Planner that keeps enough capacity for the demand, and at least the promised
 * capacity, through the loss of any one data centre, at the lowest cost found.
 */
export class SpreadFleetPlanner implements FleetPlanner {
  constructor(private readonly policy: FleetPolicy) {}

  decide(snapshot: FleetSnapshot, nowMs: number): FleetDecision {
    const { plan, fencingNumber } = snapshot;
    const observed = mergeObservation(
      this.policy,
      plan,
      snapshot,
      fencingNumber,
      nowMs,
    );
    const withUpdates = this.drainOverdue(
      this.updatePrices(observed, snapshot),
      nowMs,
    );
    const withPeak = this.updatePeak(withUpdates, snapshot, nowMs);
    const { prices } = snapshot;
    const offers = availableOffers(this.policy, prices, withPeak, nowMs);
    const requiredTokensPerSecond = withPeak.peakTokensPerSecond;
    const kept = withPeak.slots.filter(isKept);
    const allocation = allocate(
      this.policy,
      kept,
      offers,
      requiredTokensPerSecond,
    );
    const withAdditions = addSlots(withPeak, allocation, fencingNumber);
    const next =
      allocation.additions.length > 0
        ? { ...withAdditions, shrinkAtMs: undefined, rebalanceAtMs: undefined }
        : this.shrinkOrRebalance(withAdditions, offers, fencingNumber, nowMs);
    return {
      plan: next,
      actions: actionsBetween(plan, next, nowMs),
      missingTokensPerSecond: allocation.missingTokensPerSecond,
    };
  }

  /** Sets the required capacity: the demand with headroom, at least the promised capacity, held at its peak for `peakHoldMs`. */
  private updatePeak(
    plan: FleetPlan,
    snapshot: FleetSnapshot,
    nowMs: number,
  ): FleetPlan {
    const { headroomFactor, peakHoldMs, promisedTokensPerSecond } = this.policy;
    const targetTokensPerSecond = Math.max(
      promisedTokensPerSecond,
      snapshot.demandTokensPerSecond * headroomFactor,
    );
    const isPeakHeld =
      nowMs < plan.peakUntilMs &&
      targetTokensPerSecond <= plan.peakTokensPerSecond;
    if (isPeakHeld) return plan;
    return {
      ...plan,
      peakTokensPerSecond: targetTokensPerSecond,
      peakUntilMs: nowMs + peakHoldMs,
    };
  }

  private updatePrices(plan: FleetPlan, snapshot: FleetSnapshot): FleetPlan {
    const prices = new Map(
      snapshot.prices.map(price => [poolKey(price), price.pricePerHour]),
    );
    const slots = plan.slots.map(slot => ({
      ...slot,
      pricePerHour: prices.get(poolKey(slot)) ?? slot.pricePerHour,
    }));
    return { ...plan, slots };
  }

  /** Drains instances that missed their ready deadline, so that they are replaced, and backs off from their pools. */
  private drainOverdue(plan: FleetPlan, nowMs: number): FleetPlan {
    let next = plan;
    const slots = plan.slots.map(slot => {
      const readyByAtMs = slot.readyByAtMs ?? nowMs + 1;
      const isOverdue =
        slot.state === SlotState.Started && nowMs >= readyByAtMs;
      if (!isOverdue) return slot;
      next = recordRefusal(this.policy, next, slot, nowMs);
      return { ...slot, state: SlotState.Draining, endsAtMs: nowMs };
    });
    return { ...next, slots };
  }

  /** Removes surplus capacity or moves to cheaper offers, once either has persisted for `settleDelayMs`. */
  private shrinkOrRebalance(
    plan: FleetPlan,
    offers: readonly Offer[],
    fencingNumber: number,
    nowMs: number,
  ): FleetPlan {
    const surplus = this.surplusSlots(plan);
    if (surplus.length > 0) return this.shrink(plan, surplus, nowMs);
    const withoutShrink = { ...plan, shrinkAtMs: undefined };
    const hasUnreadySlots = plan.slots.some(
      slot => isKept(slot) && !isReady(slot),
    );
    if (hasUnreadySlots) return withoutShrink;
    return this.rebalance(withoutShrink, offers, fencingNumber, nowMs);
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
    const drainedSlotIds = new Set(surplus.map(slot => slot.slotId));
    const slots = plan.slots.map(slot =>
      drainedSlotIds.has(slot.slotId)
        ? { ...slot, state: SlotState.Draining, endsAtMs }
        : slot,
    );
    return { ...plan, slots, shrinkAtMs: undefined };
  }

  /** Returns the ready slots, those with the highest price per capacity first, without which the other ready slots still guarantee the required capacity. */
  private surplusSlots(plan: FleetPlan): readonly Slot[] {
    const ready = plan.slots.filter(isReady);
    const capacity = new Capacity(this.policy, ready);
    const requiredTokensPerSecond = plan.peakTokensPerSecond;
    const byPrice = [...ready].sort(
      (left, right) =>
        this.pricePerUnitCapacity(right) - this.pricePerUnitCapacity(left),
    );
    return byPrice.filter(slot => {
      capacity.remove(slot);
      if (capacity.guaranteedTokensPerSecond >= requiredTokensPerSecond)
        return true;
      capacity.add(slot);
      return false;
    });
  }

  /** Starts cheaper replacements for the slots with the highest price per capacity, which are drained as surplus once the replacements are ready. */
  private rebalance(
    plan: FleetPlan,
    offers: readonly Offer[],
    fencingNumber: number,
    nowMs: number,
  ): FleetPlan {
    const kept = plan.slots.filter(isKept);
    const count = Math.ceil(kept.length * REBALANCE_SHARE);
    const byPrice = [...kept].sort(
      (left, right) =>
        this.pricePerUnitCapacity(right) - this.pricePerUnitCapacity(left),
    );
    const remaining = byPrice.slice(count);
    const requiredTokensPerSecond = plan.peakTokensPerSecond;
    const allocation = allocate(
      this.policy,
      remaining,
      offers,
      requiredTokensPerSecond,
    );
    const pricePerHour = sumPrices(byPrice.slice(0, count));
    const isWorthwhile =
      allocation.missingTokensPerSecond === 0 &&
      allocation.adjustedPricePerHour <
        pricePerHour * MAX_REBALANCE_PRICE_RATIO;
    if (!isWorthwhile) return { ...plan, rebalanceAtMs: undefined };
    if (plan.rebalanceAtMs === undefined) {
      return { ...plan, rebalanceAtMs: nowMs + this.policy.settleDelayMs };
    }
    if (nowMs < plan.rebalanceAtMs) return plan;
    const withAdditions = addSlots(plan, allocation, fencingNumber);
    return { ...withAdditions, rebalanceAtMs: undefined };
  }

  private pricePerUnitCapacity(slot: Slot): number {
    return slot.pricePerHour / capacityOf(this.policy, slot.machineClass);
  }
}

function addSlots(
  plan: FleetPlan,
  allocation: Allocation,
  fencingNumber: number,
): FleetPlan {
  const slots = allocation.additions.map((offer, index): Slot => ({
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

/** Returns the actions that lead from one plan to the next. Starts and stops are repeated until their outcome is known. */
export function actionsBetween(
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
