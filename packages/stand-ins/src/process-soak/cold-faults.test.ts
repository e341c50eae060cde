import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { findColdExcesses } from './cold-faults.js';
import { MAX_COLD_PER_S } from './soak-variant.js';

describe('findColdExcesses', () => {
  // A check that no run can fail would pass a soak in which the bound does nothing.
  it('finds exactly the endpoints that got more than the bound in a second while cold', () => {
    const spans = [
      ['below', MAX_COLD_PER_S, 2_000],
      ['above', MAX_COLD_PER_S + 1, 2_000],
      ['warm', MAX_COLD_PER_S + 1, 6_000],
    ] as const;
    const lines = findColdExcesses(
      spans.map(([id, count, firstAtMs]) => ({
        endpoint: {
          id,
          runs: Array.from({ length: count }, (_, index) => ({
            readAtMs: firstAtMs + index,
          })),
        },
        fromMs: 1_000,
        untilMs: 5_000,
      })),
    );
    assert.deepEqual(
      lines.map(line => line.split(' ')[0]),
      ['above'],
    );
  });
});
