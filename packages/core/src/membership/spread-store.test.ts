import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { PatchOutcome, SpreadStore } from './spread-store.js';
import type { SpreadValue } from './spread-value.js';
import { applyPatch, diffValues, wholePatch } from './spread-value.js';

const RUNS = { seed: 6, numRuns: 200 };
const KEY = 'rules/current';

function valueAt(version: number): SpreadValue {
  return { key: KEY, version, value: `line ${version}\nlast line\n` };
}

describe('SpreadStore', () => {
  it('never lets a version fall, whatever order messages arrive in', () => {
    const message = fc.record({
      version: fc.integer({ min: 1, max: 20 }),
      base: fc.integer({ min: 0, max: 20 }),
    });
    fc.assert(
      fc.property(fc.array(message), messages => {
        const store = new SpreadStore();
        const versions: number[] = [];
        store.onValue(value => versions.push(value.version));
        for (const { base, version } of messages) {
          const previous = base === 0 ? undefined : valueAt(base);
          store.takePatch(diffValues(previous, valueAt(version)));
        }
        const rising = [...new Set(versions)].sort((a, b) => a - b);
        assert.deepEqual(versions, rising);
        const whole = store.wholeOf(KEY);
        if (whole === undefined) return;
        assert.equal(whole.inserted, valueAt(whole.version).value);
      }),
      RUNS,
    );
  });

  it('brings two stores to the newest versions by one exchange of digests', () => {
    const values = fc.array(
      fc.record({
        key: fc.constantFrom('a', 'b', 'c'),
        version: fc.integer({ min: 1, max: 9 }),
      }),
    );
    fc.assert(
      fc.property(values, values, (leftValues, rightValues) => {
        const left = storeOf(leftValues);
        const right = storeOf(rightValues);
        exchange(left, right);
        exchange(right, left);
        const sorted = (store: SpreadStore) =>
          [...store.versions()].sort((a, b) => (a.key < b.key ? -1 : 1));
        assert.deepEqual(sorted(left), sorted(right));
      }),
      RUNS,
    );
  });

  it('asks for the whole value where the base of a patch is not held', () => {
    const store = new SpreadStore();
    store.take(valueAt(1));
    const patch = diffValues(valueAt(2), valueAt(3));
    assert.equal(store.takePatch(patch), PatchOutcome.Wanted);
    assert.equal(store.version(KEY), 1);
    assert.equal(store.takePatch(wholePatch(valueAt(3))), PatchOutcome.Taken);
    assert.equal(store.takePatch(wholePatch(valueAt(2))), PatchOutcome.Known);
  });

  it('counts as fresh only until the deadline of the last confirmation', () => {
    const store = new SpreadStore();
    assert.equal(store.isFresh(0), false);
    store.confirm(1_000);
    store.confirm(500);
    assert.equal(store.confirmedAtMs(), 1_000);
    assert.equal(store.isFresh(15_999), true);
    assert.equal(store.isFresh(16_000), false);
  });
});

describe('diffValues', () => {
  it('gives a patch that rebuilds the new value', () => {
    fc.assert(
      fc.property(fc.string(), fc.string(), (before, after) => {
        const previous = { key: KEY, version: 1, value: before };
        const next = { key: KEY, version: 2, value: after };
        assert.deepEqual(
          applyPatch(previous, diffValues(previous, next)),
          next,
        );
      }),
      RUNS,
    );
  });

  it('sends only the part that changed', () => {
    const before = { key: KEY, version: 1, value: 'a=1\nb=2\nc=3\n' };
    const after = { key: KEY, version: 2, value: 'a=1\nb=4\nc=3\n' };
    assert.equal(diffValues(before, after).inserted, '4');
  });
});

function storeOf(entries: readonly { key: string; version: number }[]) {
  const store = new SpreadStore();
  for (const entry of entries) {
    store.take({ ...entry, value: `value ${entry.version}` });
  }
  return store;
}

function exchange(from: SpreadStore, to: SpreadStore): void {
  const missing = to.missingFrom(from.nextDigest());
  for (const patch of from.newerThan(missing)) to.takePatch(patch);
}
