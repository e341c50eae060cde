import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { MemoryKeyValue } from '../fakes/index.js';
import { LeaseKeeper } from '../leases/index.js';
import type { CloudClient, EngineInventory } from '../ports/index.js';
import {
  AnswerLostError,
  EngineOrderKind,
  InstanceBilling,
  ManualClock,
  StartOutcome,
} from '../ports/index.js';
import { ActionOutcome, ActionRunner } from './action-runner.js';
import { EMPTY_PLAN, SlotState } from './fleet-plan.js';
import { FleetActionKind } from './fleet-planner.js';
import type { FleetPolicy } from './fleet-policy.js';
import { LeaseGuard } from './lease-guard.js';
import { FencingCheck, OrderProgress, OrderRunner } from './order-runner.js';
import { scheduleOrders } from './order-schedule.js';
import { assignWarmUps } from './warm-ups.js';

const START_AT_MS = 1_000_000;
const GRANT_MS = 10_000;
const CALL_TIMEOUT_MS = 2_000;

async function createLeaseFixture() {
  const clock = new ManualClock(START_AT_MS);
  const keeper = new LeaseKeeper(new MemoryKeyValue(clock), clock, {
    name: 'fleet',
    holder: 'one',
    grantMs: GRANT_MS,
    marginMs: 1_000,
  });
  await keeper.renew();
  const guard = new LeaseGuard(keeper, clock, {
    grantMs: GRANT_MS,
    marginMs: 1_000,
    callTimeoutMs: CALL_TIMEOUT_MS,
  });
  guard.current();
  return { clock, guard, keeper };
}

const POOL = {
  machineClass: 'small',
  dataCentre: 'a',
  billing: InstanceBilling.Reclaimable,
};

function planWithReadySlots(instanceIds: readonly string[]) {
  const slots = instanceIds.map((instanceId, index) => ({
    ...POOL,
    slotId: index + 1,
    state: SlotState.Ready,
    fencingNumber: 1,
    pricePerHour: 1,
    instanceId,
  }));
  return { ...EMPTY_PLAN, slots };
}

function endpointOn(instanceId: string) {
  return { ...POOL, instanceId, address: `${instanceId}:8000` };
}

function modelRequirement(target: string, neededTokensPerSecond: number) {
  const kind = EngineOrderKind.LoadModel;
  return { kind, target, weightBytes: 2e9, neededTokensPerSecond };
}

function schedule(
  plan: typeof EMPTY_PLAN,
  requirements: readonly ReturnType<typeof modelRequirement>[],
  nowMs: number,
) {
  const endpoints = ['i1', 'i2'].map(endpointOn) as never;
  const storeBytesPerSecond = 1e9;
  return scheduleOrders(
    {
      plan,
      endpoints,
      requirements,
      storeBytesPerSecond,
      fencingNumber: 1,
    },
    nowMs,
  );
}

describe('ActionRunner', () => {
  it('reports a start as refused only once no earlier start with a lost response can take effect', async () => {
    const { clock, guard } = await createLeaseFixture();
    const policy = { name: 'test' } as FleetPolicy;
    const tokens: string[] = [];
    const cloud = {
      start: ({ clientToken }: { clientToken: string }) => {
        tokens.push(clientToken);
        if (tokens.length === 1) {
          return Promise.reject(new AnswerLostError('The answer was lost.'));
        }
        return Promise.resolve({ outcome: StartOutcome.Refused });
      },
    } as unknown as CloudClient;
    const runner = new ActionRunner(policy, cloud, clock, guard);
    const slot = {
      ...POOL,
      slotId: 7,
      state: SlotState.Planned,
      fencingNumber: 1,
      pricePerHour: 1,
    };
    const outcomes: (ActionOutcome | undefined)[] = [];
    for (const afterMs of [0, CALL_TIMEOUT_MS / 2, CALL_TIMEOUT_MS]) {
      await clock.advanceTo(START_AT_MS + afterMs);
      const kind = FleetActionKind.Start;
      const [result] = await runner.run([{ kind, slot }]);
      outcomes.push(result?.outcome);
    }
    const { Refused, Unknown } = ActionOutcome;
    assert.deepEqual(outcomes, [Unknown, Unknown, Refused]);
    assert.equal(new Set(tokens).size, 1);
  });
});

describe('OrderRunner', () => {
  it('repeats an order whose response was lost only after its deadline and a read of the inventory', async () => {
    const { clock, guard, keeper } = await createLeaseFixture();
    const sent: string[] = [];
    const inventory: EngineInventory = {
      models: [],
      adapters: [],
      versions: [],
      role: 'none',
      orderIds: [],
    };
    const engine = {
      inventory: () => Promise.resolve(inventory),
      order: (_address: string, order: { orderId: string }) => {
        sent.push(order.orderId);
        return Promise.reject(new AnswerLostError('The answer was lost.'));
      },
    };
    const runner = new OrderRunner(engine, clock, guard, {
      fleet: 'test',
      fencingCheck: FencingCheck.Checked,
      effectTimeoutMs: 60_000,
      verifyIntervalMs: 60_000,
    });
    const plan = schedule(
      planWithReadySlots(['i1']),
      [modelRequirement('model', 1)],
      START_AT_MS,
    );
    await runner.run(plan);
    await clock.advanceTo(START_AT_MS + CALL_TIMEOUT_MS / 2);
    await runner.run(plan);
    assert.equal(sent.length, 1);
    await clock.advanceTo(START_AT_MS + CALL_TIMEOUT_MS);
    await runner.run(plan);
    assert.equal(sent.length, 2);
    assert.equal(new Set(sent).size, 1);
    await clock.advanceTo(START_AT_MS + 2 * CALL_TIMEOUT_MS);
    Object.assign(inventory, { models: ['model'] });
    const results = await runner.run(plan);
    assert.deepEqual(
      results.map(result => result.progress),
      [OrderProgress.Done],
    );
    await keeper.release();
    Object.assign(inventory, { models: [] });
    await runner.run(plan);
    assert.equal(sent.length, 2);
  });
});

describe('scheduleOrders', () => {
  it('schedules weight loads within the store bandwidth and moves those in higher demand ahead of waiting ones', () => {
    const smallModel = modelRequirement('small', 1);
    const first = schedule(
      planWithReadySlots(['i1', 'i2']),
      [smallModel],
      START_AT_MS,
    );
    const startsMs = first.orders.map(
      order => order.notBeforeAtMs - START_AT_MS,
    );
    assert.deepEqual(startsMs, [0, 2_000]);
    const requirements = [smallModel, modelRequirement('urgent', 50)];
    const second = schedule(first, requirements, START_AT_MS + 1);
    const targets = [...second.orders]
      .sort((left, right) => left.notBeforeAtMs - right.notBeforeAtMs)
      .map(order => order.target);
    assert.deepEqual(targets, ['small', 'urgent', 'urgent', 'small']);
    const endsMs = second.orders.map(order => order.storeUntilMs).sort();
    assert.deepEqual(
      endsMs.map(endMs => endMs - START_AT_MS),
      [2_000, 4_000, 6_000, 8_000],
    );
  });
});

describe('assignWarmUps', () => {
  it('assigns the lost prefixes with the highest expected cost first, to the endpoint that finishes soonest', () => {
    const warmUpTargets = [
      { address: 'a', freeCacheTokens: 5_000, prefillTokensPerSecond: 100 },
      { address: 'b', freeCacheTokens: 9_000, prefillTokensPerSecond: 200 },
    ];
    const prefixes = [
      { prefixId: 'rare', tokens: 8_000, usesPerHour: 0.1, copies: 0 },
      { prefixId: 'held', tokens: 9_000, usesPerHour: 90, copies: 1 },
      { prefixId: 'long', tokens: 6_000, usesPerHour: 20, copies: 0 },
      { prefixId: 'short', tokens: 2_000, usesPerHour: 90, copies: 0 },
    ];
    const warmUps = assignWarmUps(prefixes, warmUpTargets);
    assert.deepEqual(
      warmUps.map(warmUp => [warmUp.prefixId, warmUp.address]),
      [
        ['long', 'b'],
        ['short', 'a'],
      ],
    );
  });
});
