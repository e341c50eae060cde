import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { SpreadValue } from './replicated-value.js';
import { applyPatch, createFullPatch, diffValues } from './replicated-value.js';
import { PatchOutcome, SpreadStore } from './replicated-value-store.js';

const RUNS = { seed: 6, numRuns: 200 };
const KEY = 'rules/current';

function valueAt(version: number): SpreadValue {
  return { key: KEY, version, value: `line ${version}\nlast line\n` };
}

describe('SpreadStore', () => {
  it('never decreases a version, in whatever order patches arrive', () => {
    const patchVersions = fc.record({
      version: fc.integer({ min: 1, max: 20 }),
      base: fc.integer({ min: 0, max: 20 }),
    });
    fc.assert(
      fc.property(fc.array(patchVersions), patches => {
        const store = new SpreadStore();
        const versions: number[] = [];
        store.onValue(value => versions.push(value.version));
        for (const { base, version } of patches) {
          const previous = base === 0 ? undefined : valueAt(base);
          store.takePatch(diffValues(previous, valueAt(version)));
        }
        const ascending = [...new Set(versions)].sort((a, b) => a - b);
        assert.deepEqual(versions, ascending);
        const stored = store.wholeOf(KEY);
        if (stored === undefined) return;
        assert.equal(stored.inserted, valueAt(stored.version).value);
      }),
      RUNS,
    );
  });

  it('converges two stores on the newest versions by one exchange of digests', () => {
    const values = fc.array(
      fc.record({
        key: fc.constantFrom('a', 'b', 'c'),
        version: fc.integer({ min: 1, max: 9 }),
      }),
    );
    fc.assert(
      fc.property(values, values, (leftValues, rightValues) => {
        const left = createStore(leftValues);
        const right = createStore(rightValues);
        pullNewer(left, right);
        pullNewer(right, left);
        const sorted = (store: SpreadStore) =>
          [...store.versions()].sort((a, b) => (a.key < b.key ? -1 : 1));
        assert.deepEqual(sorted(left), sorted(right));
      }),
      RUNS,
    );
  });

  it('requests the full value when the base of a patch is not stored', () => {
    const store = new SpreadStore();
    store.take(valueAt(1));
    const patch = diffValues(valueAt(2), valueAt(3));
    assert.equal(store.takePatch(patch), PatchOutcome.Wanted);
    assert.equal(store.version(KEY), 1);
    assert.equal(
      store.takePatch(createFullPatch(valueAt(3))),
      PatchOutcome.Taken,
    );
    assert.equal(
      store.takePatch(createFullPatch(valueAt(2))),
      PatchOutcome.Known,
    );
  });

  it('is fresh only for the validity period of the last confirmation', () => {
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
  it('returns a patch that reproduces the new value', () => {
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

  it('includes only the changed range', () => {
    const before = { key: KEY, version: 1, value: 'a=1\nb=2\nc=3\n' };
    const after = { key: KEY, version: 2, value: 'a=1\nb=4\nc=3\n' };
    assert.equal(diffValues(before, after).inserted, '4');
  });
});

function createStore(entries: readonly { key: string; version: number }[]) {
  const store = new SpreadStore();
  for (const entry of entries) {
    store.take({ ...entry, value: `value ${entry.version}` });
  }
  return store;
}

function pullNewer(from: SpreadStore, to: SpreadStore): void {
  const missing = to.missingFrom(from.nextDigest());
  for (const patch of from.newerThan(missing)) to.takePatch(patch);
}
