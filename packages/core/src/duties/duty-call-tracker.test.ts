import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';

import { MemoryKeyValue } from '../fakes/index.js';
import { AnswerLostError, ManualClock } from '../ports/index.js';
import type { DutyCallTerms } from './duty-api.js';
import { ReportOutcome, ScalingOutcome } from './duty-api.js';
import { DutyCallTracker } from './duty-call-tracker.js';
import { DutyHolder } from './duty-holder.js';

const LEASE_MS = 3_000;
const CALL_MS = 800;
const ORDER = {
  group: 'engines',
  dataCentre: 'north-1',
  isReclaimable: true,
  count: 1,
};

describe('DutyCallTracker', () => {
  let clock: ManualClock;
  let holder: DutyHolder;
  let successor: DutyHolder;
  let calls: DutyCallTracker;
  let isAnswerLost: boolean;
  let lastTerms: DutyCallTerms | undefined;

  const createHolder = (store: MemoryKeyValue, daemonId: string) =>
    new DutyHolder(
      store,
      clock,
      () => clock.nowMs(),
      { hasHolder: () => false, rank: () => 0 },
      { daemonId, leaseMs: LEASE_MS, isFirstStart: true },
    );

  beforeEach(async () => {
    clock = new ManualClock(1_000_000);
    const store = new MemoryKeyValue(clock);
    holder = createHolder(store, 'a');
    successor = createHolder(store, 'b');
    isAnswerLost = false;
    calls = new DutyCallTracker({
      clock,
      lease: holder,
      leaseMs: LEASE_MS,
      api: {
        reportUsage: () => Promise.resolve(ReportOutcome.Accepted),
        orderEndpoints: (_order, terms) => {
          lastTerms = terms;
          return isAnswerLost
            ? Promise.reject(new AnswerLostError('lost'))
            : Promise.resolve(ScalingOutcome.Accepted);
        },
      },
    });
    await holder.step();
  });

  async function order(): Promise<DutyCallTerms> {
    const token = holder.currentToken();
    assert.ok(token !== undefined);
    const deadlineAtMs = clock.nowMs() + CALL_MS;
    await calls
      .orderEndpoints(ORDER, { token, deadlineAtMs })
      .catch(() => undefined);
    assert.ok(lastTerms !== undefined);
    return lastTerms;
  }

  // An order that was sent at the end of a lease that could not be renewed was in flight when the next holder acted.
  it('gives up a call before another daemon can hold the lease', async () => {
    const acquiredAtMs = clock.nowMs();
    assert.equal((await order()).deadlineAtMs, acquiredAtMs + CALL_MS);
    while (holder.currentToken() !== undefined) {
      const { deadlineAtMs } = await order();
      assert.ok(deadlineAtMs < acquiredAtMs + LEASE_MS);
      assert.ok(deadlineAtMs > clock.nowMs());
      await clock.advanceTo(clock.nowMs() + 50);
    }
  });

  async function takesOver(): Promise<boolean> {
    await successor.step();
    return successor.currentToken() !== undefined;
  }

  // A stop released the lease at once, although a call that was given up just before might still arrive.
  it('lets the lease expire where the answer to a call was lost shortly before the stop', async () => {
    isAnswerLost = true;
    await order();
    await clock.advanceTo(clock.nowMs() + CALL_MS);
    await holder.release(() => calls.settle());
    assert.equal(await takesOver(), false);
    await clock.advanceTo(clock.nowMs() + LEASE_MS);
    assert.equal(await takesOver(), true);
  });

  it('releases the lease where all calls were answered for as long as a lease', async () => {
    isAnswerLost = true;
    await order();
    isAnswerLost = false;
    for (let renewals = 0; renewals < 2; renewals += 1) {
      await clock.advanceTo(clock.nowMs() + LEASE_MS / 2);
      await holder.step();
    }
    await order();
    await holder.release(() => calls.settle());
    assert.equal(await takesOver(), true);
  });
});
