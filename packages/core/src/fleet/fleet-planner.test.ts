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
import { recordRefusal } from './refusals.js';

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

/** The plan once the cloud has started every planned slot and all are ready. */
function started(plan: FleetPlan): FleetPlan {
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

/** Load left after the loss of each data centre, least first, added up anew. */
function leastAfterLoss(pools: readonly Pool[]): number {
  const left = DATA_CENTRES.map(lost =>
    pools
      .filter(each => each.dataCentre !== lost)
      .reduce((sum, each) => sum + capacityOf(POLICY, each.machineClass), 0),
  );
  return Math.min(...left);
}

const anyPool = fc.record({
  machineClass: fc.constantFrom('small', 'large'),
  dataCentre: fc.constantFrom(...DATA_CENTRES),
  billing: fc.constantFrom(...Object.values(InstanceBilling)),
});
const anyOffer = fc
  .record({ pool: anyPool, price: fc.integer({ min: 1, max: 50 }) })
  .map(({ pool: offered, price }): Offer => ({
    ...offered,
    pricePerHour: price,
    weightedPrice: price,
    tokensPerSecond: capacityOf(POLICY, offered.machineClass),
  }));

describe('allocate', () => {
  it('leaves the load after the loss of any one data centre wherever two offer instances', () => {
    fc.assert(
      fc.property(
        fc.array(anyPool, { maxLength: 12 }),
        fc.array(anyOffer, { minLength: 1, maxLength: 12 }),
        fc.integer({ min: 1, max: 3_000 }),
        (kept, offers, needed) => {
          const found = allocate(POLICY, kept, offers, needed);
          const all = [...kept, ...found.additions];
          const offering = new Set(offers.map(each => each.dataCentre));
          if (offering.size > 1) assert.equal(found.missingTokensPerSecond, 0);
          const least = leastAfterLoss(all);
          assert.ok(least + found.missingTokensPerSecond >= needed - 1e-6);
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('serves what it can where only one data centre offers instances', () => {
    const [offer] = fc.sample(anyOffer, { seed: SEED, numRuns: 1 });
    assert.ok(offer);
    const found = allocate(POLICY, [], [offer], 500);
    assert.equal(found.unservedTokensPerSecond, 0);
    assert.equal(found.missingTokensPerSecond, 500);
  });
});

describe('SpreadFleetPlanner', () => {
  it('plans replacements elsewhere on notice, before the loss', () => {
    const before = started(decide(EMPTY_PLAN, NOW_MS));
    const lostIn = before.slots[0]?.dataCentre;
    const notices = before.slots
      .filter(slot => slot.dataCentre === lostIn)
      .map(slot => ({
        instanceId: slot.instanceId ?? '',
        reclaimAtMs: NOW_MS + 30_000,
      }));
    const after = decide(before, NOW_MS, { notices });
    const kept = after.slots.filter(isKept);
    assert.ok(kept.every(slot => slot.dataCentre !== lostIn));
    assert.ok(leastAfterLoss(kept) >= 300);
    const again = decide(after, NOW_MS + 1_000, { notices });
    assert.equal(again.nextSlotId, after.nextSlotId);
  });

  it('goes to other pools and last to on demand after refusals, with a growing backoff', () => {
    let plan = EMPTY_PLAN;
    for (const price of PRICES) {
      if (price.billing === InstanceBilling.Reclaimable) {
        plan = recordRefusal(POLICY, plan, price, NOW_MS);
      }
    }
    const refused = decide(plan, NOW_MS);
    assert.ok(leastAfterLoss(refused.slots) >= 300);
    assert.ok(
      refused.slots.every(slot => slot.billing === InstanceBilling.OnDemand),
    );
    const later = decide(plan, NOW_MS + POLICY.refusalBackoffMs);
    assert.ok(
      later.slots.every(slot => slot.billing === InstanceBilling.Reclaimable),
    );
    const twice = recordRefusal(POLICY, plan, pool('small', 'a'), NOW_MS);
    const backoffsMs = twice.refusals.map(each => each.retryAtMs - NOW_MS);
    assert.equal(Math.max(...backoffsMs), 2 * POLICY.refusalBackoffMs);
  });

  it('neither starts nor drains while demand swings within the stored deadlines', () => {
    let plan = started(
      decide(EMPTY_PLAN, NOW_MS, { demandTokensPerSecond: 900 }),
    );
    const slots = plan.slots.length;
    for (let minute = 1; minute < 60; minute += 1) {
      const demandTokensPerSecond = minute % 2 === 0 ? 900 : 500;
      const nowMs = NOW_MS + minute * MINUTE_MS;
      plan = decide(plan, nowMs, { demandTokensPerSecond });
    }
    assert.equal(plan.slots.filter(isKept).length, slots);
    assert.equal(plan.nextSlotId, slots + 1);
  });

  it('drains a lasting surplus first and keeps the load on what is ready', () => {
    let plan = started(
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
    assert.ok(leastAfterLoss(plan.slots.filter(isKept)) >= 300);
  });

  it('moves off dear instances only after cheaper ones are ready', () => {
    const onDemand = PRICES.filter(
      price => price.billing === InstanceBilling.OnDemand,
    );
    let plan = started(decide(EMPTY_PLAN, NOW_MS, { prices: onDemand }));
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

  it('adopts unknown instances that serve the group, and no others', () => {
    const plan = decide(EMPTY_PLAN, NOW_MS, { listing: listingOf('model') });
    assert.ok(plan.slots.some(slot => slot.instanceId === 'orphan'));
    const other = decide(EMPTY_PLAN, NOW_MS, { listing: listingOf('ledger') });
    assert.ok(other.slots.every(slot => slot.instanceId === undefined));
  });

  it('replaces an instance that was not ready by its deadline', () => {
    const first = started(decide(EMPTY_PLAN, NOW_MS));
    const slots = first.slots.map((slot, index) =>
      index === 0
        ? { ...slot, state: SlotState.Started, readyByAtMs: NOW_MS + 1 }
        : slot,
    );
    const plan = decide({ ...first, slots }, NOW_MS + 1);
    assert.equal(plan.slots[0]?.state, SlotState.Draining);
    assert.ok(leastAfterLoss(plan.slots.filter(isKept)) >= 300);
  });
});

function listingOf(group: string): FleetListing {
  const place = { dataCentre: 'a', instanceId: 'orphan' };
  return {
    asOfMs: NOW_MS,
    instances: [
      { ...pool('small', 'a'), id: 'orphan', state: InstanceState.Running },
    ],
    endpoints: [
      {
        ...place,
        address: '10.0.0.1:8000',
        kind: EndpointKind.Model,
        group,
        version: 'v1',
        stage: EndpointStage.Ready,
      },
    ],
  };
}
