import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { ReplicatedValue } from './replicated-value.js';
import { applyPatch, createFullPatch, diffValues } from './replicated-value.js';
import {
  PatchOutcome,
  ReplicatedValueStore,
} from './replicated-value-store.js';

const RUNS = { seed: 6, numRuns: 200 };
const KEY = 'rules/current';

function valueAt(version: number): ReplicatedValue {
  return { key: KEY, version, value: `line ${version}\nlast line\n` };
}

describe('ReplicatedValueStore', () => {
  it('never decreases a version, in whatever order patches arrive', () => {
    const patchVersions = fc.record({
      version: fc.integer({ min: 1, max: 20 }),
      base: fc.integer({ min: 0, max: 20 }),
    });
    fc.assert(
      fc.property(fc.array(patchVersions), patches => {
        const store = new ReplicatedValueStore();
        const versions: number[] = [];
        store.onValue(value => versions.push(value.version));
        for (const { base, version } of patches) {
          const previous = base === 0 ? undefined : valueAt(base);
          store.receivePatch(diffValues(previous, valueAt(version)));
        }
        const ascending = [...new Set(versions)].sort((a, b) => a - b);
        assert.deepEqual(versions, ascending);
        const stored = store.fullPatch(KEY);
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
        const sorted = (store: ReplicatedValueStore) =>
          [...store.versions()].sort((a, b) => (a.key < b.key ? -1 : 1));
        assert.deepEqual(sorted(left), sorted(right));
      }),
      RUNS,
    );
  });

  it('sends a starting daemon the keys of every digest at once and in order, however many others there are', () => {
    const running = createStore(
      Array.from({ length: 40 }, (_, at) => ({
        key: `many/${at}`,
        version: 1,
      })),
      ['first', 'second'],
    );
    for (const key of ['second', 'first'])
      running.apply({ key, version: 1, value: key });
    const starting = new ReplicatedValueStore();
    const received: string[] = [];
    starting.onValue(({ key }) => received.push(key));
    pullNewer(running, starting);
    assert.deepEqual(received.slice(0, 2), ['first', 'second']);
    for (let pulls = 0; pulls < 2; pulls += 1) pullNewer(running, starting);
    assert.equal(starting.versions().length, 42);
  });

  it('requests the full value when the base of a patch is not stored', () => {
    const store = new ReplicatedValueStore();
    store.apply(valueAt(1));
    const patch = diffValues(valueAt(2), valueAt(3));
    assert.equal(store.receivePatch(patch), PatchOutcome.NeedsFullValue);
    assert.equal(store.version(KEY), 1);
    assert.equal(
      store.receivePatch(createFullPatch(valueAt(3))),
      PatchOutcome.Applied,
    );
    assert.equal(
      store.receivePatch(createFullPatch(valueAt(2))),
      PatchOutcome.NotNewer,
    );
  });

  it('is fresh only for the validity period of the last confirmation', () => {
    const store = new ReplicatedValueStore();
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

function createStore(
  entries: readonly { key: string; version: number }[],
  keysOfEveryDigest: readonly string[] = [],
) {
  const store = new ReplicatedValueStore(keysOfEveryDigest);
  for (const entry of entries) {
    store.apply({ ...entry, value: `value ${entry.version}` });
  }
  return store;
}

function pullNewer(from: ReplicatedValueStore, to: ReplicatedValueStore): void {
  const missing = to.outdatedVersions(from.nextDigest());
  for (const patch of from.patchesNewerThan(missing)) to.receivePatch(patch);
}
