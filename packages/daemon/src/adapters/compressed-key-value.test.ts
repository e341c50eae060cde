import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { MemoryKeyValue } from '@skylarkreach/core/fakes';
import { ManualClock, silentLog } from '@skylarkreach/core/ports';

import { CompressedKeyValue } from './compressed-key-value.js';

const SEED = 23;
const DEADLINE_MS = 10_000;
const KEY = 'rules/current';
const LONG = 'workspace=w-1 kind=* target=model deadline=2m\n'.repeat(400);

function open() {
  const stored = new MemoryKeyValue(new ManualClock(1_000));
  const keyValue = new CompressedKeyValue(stored, silentLog);
  const put = (value: string, expectedVersion = 0) =>
    keyValue.put({
      key: KEY,
      value,
      expectedVersion,
      deadlineAtMs: DEADLINE_MS,
    });
  return { stored, keyValue, put };
}

describe('CompressedKeyValue', () => {
  it('gives back every value as it was put, by each way of reading', async () => {
    const values = fc.oneof(
      fc.string({ unit: 'binary' }),
      fc.string({ minLength: 2_000, maxLength: 4_000 }),
      fc.string().map(text => `brotli:${text}`),
    );
    await fc.assert(
      fc.asyncProperty(values, async value => {
        const { keyValue, put } = open();
        await put(value);
        const entry = { key: KEY, value, version: 1 };
        assert.deepEqual(await keyValue.get(KEY, DEADLINE_MS), entry);
        assert.deepEqual(await keyValue.list('rules/', DEADLINE_MS), [entry]);
        const watched = await keyValue.watch({
          prefix: KEY,
          afterRevision: 0,
          deadlineAtMs: DEADLINE_MS,
        });
        assert.deepEqual(watched.entries, [entry]);
      }),
      { seed: SEED },
    );
  });

  it('stores a large value in a fraction of its bytes', async () => {
    const { stored, put } = open();
    await put(LONG);
    const entry = await stored.get(KEY);
    assert.ok((entry?.value.length ?? Infinity) < LONG.length / 10);
  });

  it('reads what was stored without compression', async () => {
    const { stored, keyValue } = open();
    await stored.put({
      key: KEY,
      value: LONG,
      expectedVersion: 0,
      deadlineAtMs: DEADLINE_MS,
    });
    assert.equal((await keyValue.get(KEY, DEADLINE_MS))?.value, LONG);
  });

  it('leaves a value that is cut off to its reader, with its version', async () => {
    const { stored, keyValue } = open();
    const value = 'brotli:AAAA';
    await stored.put({
      key: KEY,
      value,
      expectedVersion: 0,
      deadlineAtMs: DEADLINE_MS,
    });
    const entry = await keyValue.get(KEY, DEADLINE_MS);
    assert.deepEqual(entry, { key: KEY, value, version: 1 });
  });

  it('keeps compare-and-swap by version', async () => {
    const { keyValue, put } = open();
    await put(LONG);
    const late = await put(`${LONG}late`);
    assert.equal(late.version, 1);
    await put(`${LONG}next`, 1);
    assert.equal((await keyValue.get(KEY, DEADLINE_MS))?.version, 2);
  });
});
