import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { FleetListing, Price } from '../ports/index.js';
import {
  EndpointKind,
  EndpointStage,
  InstanceBilling,
  InstanceState,
} from '../ports/index.js';
import { allocate } from './allocate.js';
import type { FleetPlan, Slot } from './fleet-plan.js';
import { EMPTY_PLAN, isKept, SlotState } from './fleet-plan.js';
import type { FleetSnapshot } from './fleet-planner.js';
import { SpreadFleetPlanner } from './fleet-planner.js';
import type { FleetPolicy, Pool } from './fleet-policy.js';
import { capacityOf } from './fleet-policy.js';
import type { Offer } from './offers.js';
import { pausePool, recordRefusal } from './refusals.js';

const SEED = 11;
const MINUTE_MS = 60_000;
const NOW_MS = 1_000 * MINUTE_MS;
const DATA_CENTRES = ['a', 'b', 'c', 'd'];

const POLICY: FleetPolicy = {
  name: 'test',
  group: 'model',
  classes: [
    { name: 'small', capacityTokensPerSecond: 100 },
    { name: 'large', capacityTokensPerSecond: 230 },
  ],
  dataCentres: DATA_CENTRES,
  promisedTokensPerSecond: 300,
  headroomFactor: 1,
  peakHoldMs: MINUTE_MS,
  settleDelayMs: 5 * MINUTE_MS,
  drainMs: 2 * MINUTE_MS,
  readyTimeoutMs: 10 * MINUTE_MS,
  refusalBackoffMs: 10_000,
  maxRefusalBackoffMs: MINUTE_MS,
  reclaimPauseMs: 5 * MINUTE_MS,
};

const PRICES: readonly Price[] = DATA_CENTRES.flatMap(dataCentre => [
  { ...pool('small', dataCentre), pricePerHour: 1 },
  { ...pool('large', dataCentre), pricePerHour: 2.5 },
  {
    ...pool('small', dataCentre),
    billing: InstanceBilling.OnDemand,
    pricePerHour: 4,
  },
]);

function pool(machineClass: string, dataCentre: string): Pool {
  return { machineClass, dataCentre, billing: InstanceBilling.Reclaimable };
}

function decide(
  plan: FleetPlan,
  nowMs: number,
  changes: Partial<FleetSnapshot> = {},
): FleetPlan {
  const snapshot: FleetSnapshot = {
    plan,
    listing: { asOfMs: 0, instances: [], endpoints: [] },
    notices: [],
    prices: PRICES,
    demandTokensPerSecond: 300,
    fencingNumber: 1,
    ...changes,
  };
  return new SpreadFleetPlanner(POLICY).decide(snapshot, nowMs).plan;
}

/** Returns the plan after every planned slot has started and become ready. */
function withAllReady(plan: FleetPlan): FleetPlan {
  const slots = plan.slots.map((slot): Slot =>
    slot.state === SlotState.Planned
      ? {
          ...slot,
          state: SlotState.Ready,
          instanceId: `i${slot.slotId}`,
          startedAtMs: NOW_MS,
        }
      : slot,
  );
  return { ...plan, slots };
}

/**
 * Returns the lowest capacity that remains after the loss of one data centre.
 * Computed without `Capacity`, so that the tests do not depend on it.
 */
function minCapacityAfterLoss(pools: readonly Pool[]): number {
  const capacitiesAfterLoss = DATA_CENTRES.map(lostDataCentre =>
    pools
      .filter(candidate => candidate.dataCentre !== lostDataCentre)
      .reduce(
        (sum, candidate) => sum + capacityOf(POLICY, candidate.machineClass),
        0,
      ),
  );
  return Math.min(...capacitiesAfterLoss);
}

const poolArbitrary = fc.record({
  machineClass: fc.constantFrom('small', 'large'),
  dataCentre: fc.constantFrom(...DATA_CENTRES),
  billing: fc.constantFrom(...Object.values(InstanceBilling)),
});
const offerArbitrary = fc
  .record({ pool: poolArbitrary, price: fc.integer({ min: 1, max: 50 }) })
  .map(({ pool: offered, price }): Offer => ({
    ...offered,
    pricePerHour: price,
    adjustedPricePerHour: price,
    tokensPerSecond: capacityOf(POLICY, offered.machineClass),
  }));

describe('allocate', () => {
  it('keeps the required capacity after the loss of any one data centre if at least two data centres have offers', () => {
    fc.assert(
      fc.property(
        fc.array(poolArbitrary, { maxLength: 12 }),
        fc.array(offerArbitrary, { minLength: 1, maxLength: 12 }),
        fc.integer({ min: 1, max: 3_000 }),
        (kept, offers, needed) => {
          const allocation = allocate(POLICY, kept, offers, needed);
          const all = [...kept, ...allocation.additions];
          const offering = new Set(offers.map(offer => offer.dataCentre));
          if (offering.size > 1)
            assert.equal(allocation.missingTokensPerSecond, 0);
          const minCapacity = minCapacityAfterLoss(all);
          assert.ok(
            minCapacity + allocation.missingTokensPerSecond >= needed - 1e-6,
          );
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('covers the demand without redundancy if only one data centre has offers', () => {
    const [offer] = fc.sample(offerArbitrary, { seed: SEED, numRuns: 1 });
    assert.ok(offer);
    const allocation = allocate(POLICY, [], [offer], 500);
    assert.equal(allocation.unservedTokensPerSecond, 0);
    assert.equal(allocation.missingTokensPerSecond, 500);
  });
});

describe('SpreadFleetPlanner', () => {
  it('plans replacements in other data centres on a reclaim notice, before the instances are lost', () => {
    const before = withAllReady(decide(EMPTY_PLAN, NOW_MS));
    const lostDataCentre = before.slots[0]?.dataCentre;
    const notices = before.slots
      .filter(slot => slot.dataCentre === lostDataCentre)
      .map(slot => ({
        instanceId: slot.instanceId ?? '',
        reclaimAtMs: NOW_MS + 30_000,
      }));
    const after = decide(before, NOW_MS, { notices });
    const kept = after.slots.filter(isKept);
    assert.ok(kept.every(slot => slot.dataCentre !== lostDataCentre));
    assert.ok(minCapacityAfterLoss(kept) >= 300);
    const again = decide(after, NOW_MS + 1_000, { notices });
    assert.equal(again.nextSlotId, after.nextSlotId);
  });

  it('falls back to on-demand pools after refusals of all reclaimable ones, with an exponential backoff', () => {
    let plan = EMPTY_PLAN;
    for (const price of PRICES) {
      if (price.billing === InstanceBilling.Reclaimable) {
        plan = recordRefusal(POLICY, plan, price, NOW_MS);
      }
    }
    const refused = decide(plan, NOW_MS);
    assert.ok(minCapacityAfterLoss(refused.slots) >= 300);
    assert.ok(
      refused.slots.every(slot => slot.billing === InstanceBilling.OnDemand),
    );
    const later = decide(plan, NOW_MS + POLICY.refusalBackoffMs);
    assert.ok(
      later.slots.every(slot => slot.billing === InstanceBilling.Reclaimable),
    );
    const twice = recordRefusal(POLICY, plan, pool('small', 'a'), NOW_MS);
    const backoffsMs = twice.refusals.map(
      refusal => refusal.retryAtMs - NOW_MS,
    );
    assert.equal(Math.max(...backoffsMs), 2 * POLICY.refusalBackoffMs);
  });

  it('neither starts nor drains instances while the demand fluctuates within the stored deadlines', () => {
    let plan = withAllReady(
      decide(EMPTY_PLAN, NOW_MS, { demandTokensPerSecond: 900 }),
    );
    const slotCount = plan.slots.length;
    for (let minute = 1; minute < 60; minute += 1) {
      const demandTokensPerSecond = minute % 2 === 0 ? 900 : 500;
      const nowMs = NOW_MS + minute * MINUTE_MS;
      plan = decide(plan, nowMs, { demandTokensPerSecond });
    }
    assert.equal(plan.slots.filter(isKept).length, slotCount);
    assert.equal(plan.nextSlotId, slotCount + 1);
  });

  it('drains a persistent surplus and keeps the required capacity on the remaining instances', () => {
    let plan = withAllReady(
      decide(EMPTY_PLAN, NOW_MS, { demandTokensPerSecond: 900 }),
    );
    for (let minute = 1; minute <= 7; minute += 1) {
      plan = decide(plan, NOW_MS + minute * MINUTE_MS);
    }
    const drained = plan.slots.filter(
      slot => slot.state === SlotState.Draining,
    );
    assert.ok(drained.length > 0);
    assert.ok(drained.every(slot => (slot.endsAtMs ?? 0) > NOW_MS));
    assert.ok(minCapacityAfterLoss(plan.slots.filter(isKept)) >= 300);
  });

  it('keeps expensive instances until cheaper replacements are ready', () => {
    const onDemand = PRICES.filter(
      price => price.billing === InstanceBilling.OnDemand,
    );
    let plan = withAllReady(decide(EMPTY_PLAN, NOW_MS, { prices: onDemand }));
    const count = plan.slots.length;
    plan = decide(plan, NOW_MS + MINUTE_MS);
    plan = decide(plan, NOW_MS + 7 * MINUTE_MS);
    const added = plan.slots.filter(slot => slot.state === SlotState.Planned);
    assert.ok(added.length > 0);
    assert.ok(
      added.every(slot => slot.billing === InstanceBilling.Reclaimable),
    );
    assert.equal(plan.slots.filter(isKept).length, count + added.length);
  });

  it('adopts unknown instances only if they serve the group', () => {
    const plan = decide(EMPTY_PLAN, NOW_MS, { listing: listingOf('model') });
    assert.ok(plan.slots.some(slot => slot.instanceId === 'orphan'));
    const other = decide(EMPTY_PLAN, NOW_MS, { listing: listingOf('ledger') });
    assert.ok(other.slots.every(slot => slot.instanceId === undefined));
  });

  it('replaces an adopted instance that never becomes ready', () => {
    const listing = listingOf('model', EndpointStage.Warming);
    const adopted = decide(EMPTY_PLAN, NOW_MS, { listing });
    const nowMs = NOW_MS + POLICY.readyTimeoutMs;
    const later = { ...listing, asOfMs: nowMs };
    const plan = decide(adopted, nowMs, { listing: later });
    const slot = plan.slots.find(each => each.instanceId === 'orphan');
    assert.equal(slot?.state, SlotState.Draining);
  });

  it('does not shorten the backoff of a pool by a pause for a reclaim', () => {
    let plan = EMPTY_PLAN;
    for (let refusals = 0; refusals < 4; refusals += 1)
      plan = recordRefusal(POLICY, plan, pool('small', 'a'), NOW_MS);
    const paused = pausePool(plan, pool('small', 'a'), NOW_MS + 1);
    assert.deepEqual(paused.refusals, plan.refusals);
  });

  it('replaces an instance that was not ready by its deadline', () => {
    const first = withAllReady(decide(EMPTY_PLAN, NOW_MS));
    const slots = first.slots.map((slot, index) =>
      index === 0
        ? { ...slot, state: SlotState.Started, readyByAtMs: NOW_MS + 1 }
        : slot,
    );
    const plan = decide({ ...first, slots }, NOW_MS + 1);
    assert.equal(plan.slots[0]?.state, SlotState.Draining);
    assert.ok(minCapacityAfterLoss(plan.slots.filter(isKept)) >= 300);
  });
});

function listingOf(group: string, stage = EndpointStage.Ready): FleetListing {
  const location = { dataCentre: 'a', instanceId: 'orphan' };
  return {
    asOfMs: NOW_MS,
    instances: [
      { ...pool('small', 'a'), id: 'orphan', state: InstanceState.Running },
    ],
    endpoints: [
      {
        ...location,
        address: '10.0.0.1:8000',
        kind: EndpointKind.Model,
        group,
        version: 'v1',
        stage,
      },
    ],
  };
}
