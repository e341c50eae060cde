import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { MoveSpec } from './move.js';
import {
  earliestEndAtMs,
  INITIAL_SHARE,
  MAX_RUNNING_SHARE,
  nextProgress,
  SUFFICIENT_SAMPLE_COUNT,
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

  it('starts at the initial share and leaves cautious kinds at 0', () => {
    const [lookup, posting] = nextProgress(SPEC, progressOf(0, 0, 0), rates, 0);
    assert.equal(lookup?.share, INITIAL_SHARE);
    assert.equal(posting?.share, 0);
  });

  it('starts cautious kinds once the others have enough samples', () => {
    const progress = progressOf(MAX_RUNNING_SHARE, SUFFICIENT_SAMPLE_COUNT, 0);
    const [, posting] = nextProgress(SPEC, progress, rates, 100_000);
    assert.equal(posting?.share, INITIAL_SHARE);
  });

  it('starts cautious kinds after a third of the time if the others lack samples', () => {
    const progress = progressOf(
      MAX_RUNNING_SHARE,
      SUFFICIENT_SAMPLE_COUNT - 1,
      0,
    );
    const cautiousShareAt = (nowMs: number) =>
      nextProgress(SPEC, progress, rates, nowMs)[1]?.share;
    assert.equal(cautiousShareAt(earliestEndAtMs(SPEC) * 0.2), 0);
    assert.equal(cautiousShareAt(earliestEndAtMs(SPEC) * 0.5), INITIAL_SHARE);
  });

  it('never lowers a share, at most doubles it and leaves a share for the old version', () => {
    const count = fc.integer({ min: 0, max: 5_000 });
    const share = fc.double({
      min: INITIAL_SHARE,
      max: MAX_RUNNING_SHARE,
      noNaN: true,
    });
    const nowMs = fc.integer({ min: 0, max: earliestEndAtMs(SPEC) });
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
          assert.ok(after <= Math.max(before * 2, INITIAL_SHARE) + 1e-9);
          assert.ok(after <= MAX_RUNNING_SHARE);
        },
      ),
      { seed: SEED },
    );
  });
});
