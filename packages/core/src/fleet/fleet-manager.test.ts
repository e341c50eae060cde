import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { PlatformError } from '../ports/index.js';
import type { FleetManager } from './fleet-manager.js';
import { clientTokenOf, SlotState } from './fleet-plan.js';
import {
  DATA_CENTRES,
  GRANT_MS,
  POLICY,
  START_AT_MS,
  TestPlatform,
} from './fleet-platform-double.js';

const SEED = 5;
const SETTLED_MS = 120_000;

async function round(manager: FleetManager): Promise<void> {
  try {
    await manager.renew();
    await manager.step();
  } catch (error) {
    if (!(error instanceof PlatformError)) throw error;
  }
}

/** Lets three processes take turns, restarting some, then one alone without faults. */
async function runTurns(
  platform: TestPlatform,
  turns: readonly Turn[],
): Promise<FleetManager> {
  const { clock } = platform;
  const managers = [0, 1, 2].map(who => platform.manager(`first-${who}`));
  const busy = new Set<FleetManager>();
  for (const [index, turn] of turns.entries()) {
    if (turn.restarts) {
      managers[turn.who] = platform.manager(`restart-${index}`);
    }
    const manager = managers[turn.who];
    if (manager !== undefined && !busy.has(manager)) {
      busy.add(manager);
      void round(manager).finally(() => busy.delete(manager));
    }
    await clock.advanceTo(clock.nowMs() + turn.advanceMs);
  }
  platform.isCalm = true;
  const last = platform.manager('last');
  const endAtMs = clock.nowMs() + SETTLED_MS;
  while (clock.nowMs() < endAtMs) {
    await round(last);
    await clock.advanceTo(clock.nowMs() + 2_000);
  }
  return last;
}

interface Turn {
  readonly who: number;
  readonly advanceMs: number;
  readonly restarts: boolean;
}

const anyTurn: fc.Arbitrary<Turn> = fc.record({
  who: fc.constantFrom(0, 1, 2),
  advanceMs: fc.constantFrom(100, 500, 1_000, 4_000, 11_000),
  restarts: fc.nat(9).map(drawn => drawn === 0),
});

describe('FleetManager', () => {
  it('starts one instance a slot and sends no order under a past lease, in any order of faults', async () => {
    const property = fc.asyncProperty(
      fc.nat(),
      fc.array(anyTurn, { minLength: 10, maxLength: 60 }),
      async (seed, turns) => {
        const platform = new TestPlatform(seed);
        const last = await runTurns(platform, turns);
        const { orders, slots } = last.state().plan;
        const planned = slots.map(slot => slot.instanceId).sort();
        assert.deepEqual(planned, [...platform.instances.keys()].sort());
        assert.ok(slots.every(slot => slot.state === SlotState.Ready));
        // An instance started for no slot of the plan would be adopted under another number.
        for (const slot of slots) {
          assert.equal(slot.instanceId, clientTokenOf(POLICY.name, slot));
        }
        assert.ok(slots.length >= DATA_CENTRES.length);
        assert.equal(platform.staleOrders, 0);
        const ordered = platform.orders.map(order => order.address);
        assert.deepEqual(ordered.sort(), planned);
        assert.ok(orders.every(order => order.done));
      },
    );
    await fc.assert(property, {
      seed: SEED,
      numRuns: 300,
      includeErrorInReport: true,
    });
  });

  it('waits for orders of an earlier holder that are still on the wire, and reads back', async () => {
    const platform = new TestPlatform(SEED);
    platform.isCalm = true;
    const { clock } = platform;
    const first = platform.manager('first');
    for (const afterMs of [0, GRANT_MS / 2]) {
      await clock.advanceTo(START_AT_MS + afterMs);
      await round(first);
    }
    assert.equal(platform.orders.length, 0);
    await clock.advanceTo(START_AT_MS + GRANT_MS);
    platform.orderHeldForMs = 1_500;
    void round(first);
    await clock.advanceTo(clock.nowMs() + 500);
    await first.release();
    platform.orderHeldForMs = 0;
    const second = platform.manager('second');
    await round(second);
    assert.equal(second.state().holdsLease, true);
    assert.equal(platform.orders.length, 0);
    await clock.advanceTo(clock.nowMs() + GRANT_MS / 2);
    await round(second);
    assert.equal(platform.orders.length, DATA_CENTRES.length);
    await clock.advanceTo(clock.nowMs() + GRANT_MS / 2);
    await round(second);
    assert.equal(platform.orders.length, DATA_CENTRES.length);
    assert.ok(second.state().plan.orders.every(order => order.done));
  });

  it('lets no late write of a paused holder undo a start of the new holder', async () => {
    const platform = new TestPlatform(SEED);
    platform.isCalm = true;
    const { clock } = platform;
    platform.refusesOneStart = true;
    void round(platform.manager('first'));
    await clock.advanceTo(START_AT_MS + GRANT_MS);
    platform.putHeldForMs = 0;
    platform.losesStartAnswers = true;
    await round(platform.manager('second'));
    platform.losesStartAnswers = false;
    const last = await runTurns(platform, []);
    const { slots } = last.state().plan;
    assert.equal(slots.length, DATA_CENTRES.length);
    for (const slot of slots) {
      assert.equal(slot.instanceId, clientTokenOf(POLICY.name, slot));
    }
  });

  it('does not act on a plan that another holder took over', async () => {
    const platform = new TestPlatform(SEED);
    platform.isCalm = true;
    const { clock } = platform;
    const first = platform.manager('first');
    await round(first);
    await clock.advanceTo(clock.nowMs() + GRANT_MS);
    const second = platform.manager('second');
    await round(second);
    const { planVersion } = second.state();
    await round(first);
    assert.equal(first.state().holdsLease, false);
    assert.equal(first.state().planVersion, planVersion);
    assert.equal(platform.instances.size, DATA_CENTRES.length);
  });
});
