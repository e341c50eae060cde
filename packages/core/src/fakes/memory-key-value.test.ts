import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Lease } from '../ports/index.js';
import { AnswerLostError, ManualClock, PutOutcome } from '../ports/index.js';
import { Fault, FaultyKeyValue } from './faulty-key-value.js';
import { MemoryKeyValue } from './memory-key-value.js';

const DEADLINE_AT_MS = 10_000;

function put(key: string, value: string, expectedVersion: number) {
  return { key, value, expectedVersion, deadlineAtMs: DEADLINE_AT_MS };
}

describe('MemoryKeyValue', () => {
  it('rejects a write whose expected version is stale', async () => {
    const store = new MemoryKeyValue(new ManualClock());
    const first = await store.put(put('a', '1', 0));
    assert.deepEqual(first, { outcome: PutOutcome.Written, version: 1 });
    const second = await store.put(put('a', '2', 0));
    assert.deepEqual(second, { outcome: PutOutcome.Conflict, version: 1 });
    assert.equal((await store.get('a'))?.value, '1');
  });

  it('completes a watch once a key under its prefix changes', async () => {
    const store = new MemoryKeyValue(new ManualClock());
    const watch = store.watch({
      prefix: 'rules/',
      afterRevision: 0,
      deadlineAtMs: DEADLINE_AT_MS,
    });
    await store.put(put('other', '1', 0));
    await store.put(put('rules/current', '2', 0));
    const result = await watch;
    assert.deepEqual(
      result.entries.map(entry => entry.value),
      ['2'],
    );
    assert.equal(result.revision, 2);
  });

  it('increases the fencing token with each new holder', async () => {
    const clock = new ManualClock();
    const store = new MemoryKeyValue(clock);
    const acquire = (
      holder: string,
      expiresAtMs: number,
    ): Promise<Lease | undefined> =>
      store.acquireLease({
        name: 'planner',
        holder,
        expiresAtMs,
        deadlineAtMs: DEADLINE_AT_MS,
      });
    assert.equal((await acquire('one', 100))?.fencingNumber, 1);
    assert.equal(await acquire('two', 100), undefined);
    assert.equal((await acquire('one', 200))?.fencingNumber, 1);
    await clock.advanceTo(201);
    assert.equal((await acquire('two', 300))?.fencingNumber, 2);
  });

  it('keeps a write whose response an injected fault loses', async () => {
    const clock = new ManualClock();
    const store = new MemoryKeyValue(clock);
    const faulty = new FaultyKeyValue(store, clock, () => Fault.AnswerLost);
    await assert.rejects(faulty.put(put('a', '1', 0)), AnswerLostError);
    assert.equal((await store.get('a'))?.value, '1');
  });
});
