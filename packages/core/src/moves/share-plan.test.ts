import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { MoveSpec } from './move.js';
import {
  endFromMs,
  FIRST_SHARE,
  FULL_SHARE,
  nextProgress,
  PROVED_COUNT,
} from './share-plan.js';

const SEED = 17;
const SPEC: MoveSpec = {
  moveId: 'move-1',
  group: 'model',
  fromVersion: 'v1',
  toVersion: 'v2',
  kinds: ['lookup', 'posting'],
  cautiousKinds: ['posting'],
  startedAtMs: 0,
  deadlineAtMs: 600_000,
  reason: 'operations, newer weights',
};

function progressOf(share: number, lookups: number, postings: number) {
  return [
    { kind: 'lookup', share, newCount: lookups },
    { kind: 'posting', share: 0, newCount: postings },
  ];
}

describe('nextProgress', () => {
  const rates = new Map([
    ['lookup', 20],
    ['posting', 2],
  ]);

  it('starts at the first share and leaves cautious kinds out', () => {
    const [lookup, posting] = nextProgress(SPEC, progressOf(0, 0, 0), rates, 0);
    assert.equal(lookup?.share, FIRST_SHARE);
    assert.equal(posting?.share, 0);
  });

  it('lets cautious kinds begin once the others are proved', () => {
    const progress = progressOf(FULL_SHARE, PROVED_COUNT, 0);
    const [, posting] = nextProgress(SPEC, progress, rates, 100_000);
    assert.equal(posting?.share, FIRST_SHARE);
  });

  it('lets cautious kinds begin in time to be judged where the others are never proved', () => {
    const progress = progressOf(FULL_SHARE, PROVED_COUNT - 1, 0);
    const startAt = (nowMs: number) =>
      nextProgress(SPEC, progress, rates, nowMs)[1]?.share;
    assert.equal(startAt(endFromMs(SPEC) * 0.2), 0);
    assert.equal(startAt(endFromMs(SPEC) * 0.5), FIRST_SHARE);
  });

  it('never lowers a share, never doubles it twice and leaves some of the old version', () => {
    const count = fc.integer({ min: 0, max: 5_000 });
    const share = fc.double({ min: FIRST_SHARE, max: FULL_SHARE, noNaN: true });
    const nowMs = fc.integer({ min: 0, max: endFromMs(SPEC) });
    fc.assert(
      fc.property(
        share,
        count,
        count,
        nowMs,
        (before, lookups, postings, at) => {
          const progress = progressOf(before, lookups, postings);
          const [lookup] = nextProgress(SPEC, progress, rates, at);
          const after = lookup?.share ?? 0;
          assert.ok(after >= before);
          assert.ok(after <= Math.max(before * 2, FIRST_SHARE) + 1e-9);
          assert.ok(after <= FULL_SHARE);
        },
      ),
      { seed: SEED },
    );
  });
});
