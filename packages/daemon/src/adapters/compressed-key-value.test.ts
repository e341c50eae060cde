import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { MemoryKeyValue } from '@skylarkreach/core/fakes';
import { ManualClock, noopLog } from '@skylarkreach/core/ports';

import { CompressedKeyValue } from './compressed-key-value.js';

const SEED = 23;
const DEADLINE_MS = 10_000;
const KEY = 'rules/current';
const LARGE_VALUE = 'workspace=w-1 kind=* target=model deadline=2m\n'.repeat(
  400,
);

function createFixture() {
  const store = new MemoryKeyValue(new ManualClock(1_000));
  const keyValue = new CompressedKeyValue(store, noopLog);
  const put = (value: string, expectedVersion = 0) =>
    keyValue.put({
      key: KEY,
      value,
      expectedVersion,
      deadlineAtMs: DEADLINE_MS,
    });
  return { store, keyValue, put };
}

describe('CompressedKeyValue', () => {
  it('returns every value unchanged from get, list and watch', async () => {
    const values = fc.oneof(
      fc.string({ unit: 'binary' }),
      fc.string({ minLength: 2_000, maxLength: 4_000 }),
      fc.string().map(text => `brotli:${text}`),
    );
    await fc.assert(
      fc.asyncProperty(values, async value => {
        const { keyValue, put } = createFixture();
        await put(value);
        const entry = { key: KEY, value, version: 1 };
        assert.deepEqual(await keyValue.get(KEY, DEADLINE_MS), entry);
        assert.deepEqual(await keyValue.list('rules/', DEADLINE_MS), [entry]);
        const watchResult = await keyValue.watch({
          prefix: KEY,
          afterRevision: 0,
          deadlineAtMs: DEADLINE_MS,
        });
        assert.deepEqual(watchResult.entries, [entry]);
      }),
      { seed: SEED },
    );
  });

  it('stores a large value in less than a tenth of its size', async () => {
    const { store, put } = createFixture();
    await put(LARGE_VALUE);
    const entry = await store.get(KEY);
    assert.ok((entry?.value.length ?? Infinity) < LARGE_VALUE.length / 10);
  });

  it('reads what was stored without compression', async () => {
    const { store, keyValue } = createFixture();
    await store.put({
      key: KEY,
      value: LARGE_VALUE,
      expectedVersion: 0,
      deadlineAtMs: DEADLINE_MS,
    });
    assert.equal((await keyValue.get(KEY, DEADLINE_MS))?.value, LARGE_VALUE);
  });

  it('returns a truncated compressed value unchanged, with its version', async () => {
    const { store, keyValue } = createFixture();
    const value = 'brotli:AAAA';
    await store.put({
      key: KEY,
      value,
      expectedVersion: 0,
      deadlineAtMs: DEADLINE_MS,
    });
    const entry = await keyValue.get(KEY, DEADLINE_MS);
    assert.deepEqual(entry, { key: KEY, value, version: 1 });
  });

  it('preserves compare-and-swap by version', async () => {
    const { keyValue, put } = createFixture();
    await put(LARGE_VALUE);
    const conflicting = await put(`${LARGE_VALUE}late`);
    assert.equal(conflicting.version, 1);
    await put(`${LARGE_VALUE}next`, 1);
    assert.equal((await keyValue.get(KEY, DEADLINE_MS))?.version, 2);
  });
});
