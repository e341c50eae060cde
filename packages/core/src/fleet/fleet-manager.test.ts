import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { PlatformError } from '../ports/index.js';
import {
  DATA_CENTRES,
  FaultyPlatform,
  GRANT_MS,
  POLICY,
  START_AT_MS,
} from './faulty-platform.js';
import type { FleetManager } from './fleet-manager.js';
import { clientTokenOf, SlotState } from './fleet-plan.js';

const SEED = 5;
const FAULT_FREE_MS = 120_000;

async function runRound(manager: FleetManager): Promise<void> {
  try {
    await manager.renew();
    await manager.runRound();
  } catch (error) {
    if (!(error instanceof PlatformError)) throw error;
  }
}

/**
 * Runs rounds of three processes in the order of the turns, restarting a process
 * where its turn says so. Then runs one new process alone without faults.
 */
async function runTurns(
  platform: FaultyPlatform,
  turns: readonly Turn[],
): Promise<FleetManager> {
  const { clock } = platform;
  const managers = [0, 1, 2].map(index =>
    platform.createManager(`first-${index}`),
  );
  const runningManagers = new Set<FleetManager>();
  for (const [index, turn] of turns.entries()) {
    if (turn.restarts) {
      managers[turn.processIndex] = platform.createManager(`restart-${index}`);
    }
    const manager = managers[turn.processIndex];
    if (manager !== undefined && !runningManagers.has(manager)) {
      runningManagers.add(manager);
      void runRound(manager).finally(() => runningManagers.delete(manager));
    }
    await clock.advanceTo(clock.nowMs() + turn.advanceMs);
  }
  platform.isFaultFree = true;
  const last = platform.createManager('last');
  const endAtMs = clock.nowMs() + FAULT_FREE_MS;
  while (clock.nowMs() < endAtMs) {
    await runRound(last);
    await clock.advanceTo(clock.nowMs() + 2_000);
  }
  return last;
}

interface Turn {
  readonly processIndex: number;
  readonly advanceMs: number;
  readonly restarts: boolean;
}

const turnArbitrary: fc.Arbitrary<Turn> = fc.record({
  processIndex: fc.constantFrom(0, 1, 2),
  advanceMs: fc.constantFrom(100, 500, 1_000, 4_000, 11_000),
  restarts: fc.nat(9).map(number => number === 0),
});

describe('FleetManager', () => {
  it('starts one instance per slot and sends no order under an expired lease, whatever the order of faults', async () => {
    const property = fc.asyncProperty(
      fc.nat(),
      fc.array(turnArbitrary, { minLength: 10, maxLength: 60 }),
      async (seed, turns) => {
        const platform = new FaultyPlatform(seed);
        const last = await runTurns(platform, turns);
        const { orders, slots } = last.state().plan;
        const planned = slots.map(slot => slot.instanceId).sort();
        assert.deepEqual(planned, [...platform.instances.keys()].sort());
        assert.ok(slots.every(slot => slot.state === SlotState.Ready));
        // An instance that was started without a slot in the plan would be adopted with another slot id.
        for (const slot of slots) {
          assert.equal(slot.instanceId, clientTokenOf(POLICY.name, slot));
        }
        assert.ok(slots.length >= DATA_CENTRES.length);
        assert.equal(platform.staleOrderCount, 0);
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

  it('waits until orders of an earlier lease holder can no longer arrive, then reads the endpoints', async () => {
    const platform = new FaultyPlatform(SEED);
    platform.isFaultFree = true;
    const { clock } = platform;
    const first = platform.createManager('first');
    for (const afterMs of [0, GRANT_MS / 2]) {
      await clock.advanceTo(START_AT_MS + afterMs);
      await runRound(first);
    }
    assert.equal(platform.orders.length, 0);
    await clock.advanceTo(START_AT_MS + GRANT_MS);
    platform.orderDelayMs = 1_500;
    void runRound(first);
    await clock.advanceTo(clock.nowMs() + 500);
    await first.release();
    platform.orderDelayMs = 0;
    const second = platform.createManager('second');
    await runRound(second);
    assert.equal(second.state().holdsLease, true);
    assert.equal(platform.orders.length, 0);
    await clock.advanceTo(clock.nowMs() + GRANT_MS / 2);
    await runRound(second);
    assert.equal(platform.orders.length, DATA_CENTRES.length);
    await clock.advanceTo(clock.nowMs() + GRANT_MS / 2);
    await runRound(second);
    assert.equal(platform.orders.length, DATA_CENTRES.length);
    assert.ok(second.state().plan.orders.every(order => order.done));
  });

  it('prevents a late write of a delayed lease holder from undoing a start of the next holder', async () => {
    const platform = new FaultyPlatform(SEED);
    platform.isFaultFree = true;
    const { clock } = platform;
    platform.refusesNextStart = true;
    void runRound(platform.createManager('first'));
    await clock.advanceTo(START_AT_MS + GRANT_MS);
    platform.putDelayMs = 0;
    platform.losesStartResponses = true;
    await runRound(platform.createManager('second'));
    platform.losesStartResponses = false;
    const last = await runTurns(platform, []);
    const { slots } = last.state().plan;
    assert.equal(slots.length, DATA_CENTRES.length);
    for (const slot of slots) {
      assert.equal(slot.instanceId, clientTokenOf(POLICY.name, slot));
    }
  });

  it('does not act on a plan that the next lease holder has written', async () => {
    const platform = new FaultyPlatform(SEED);
    platform.isFaultFree = true;
    const { clock } = platform;
    const first = platform.createManager('first');
    await runRound(first);
    await clock.advanceTo(clock.nowMs() + GRANT_MS);
    const second = platform.createManager('second');
    await runRound(second);
    const { planVersion } = second.state();
    await runRound(first);
    assert.equal(first.state().holdsLease, false);
    assert.equal(first.state().planVersion, planVersion);
    assert.equal(platform.instances.size, DATA_CENTRES.length);
  });
});
