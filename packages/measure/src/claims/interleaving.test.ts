import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { ClaimsKind } from './claims-kind.js';
import { Interleaving } from './interleaving.js';

const SEED = 404;
const RUNS = 150;
const MAX_SEED = 1_000_000_000;

describe('interleavings of callers, daemons and faults', () => {
  for (const kind of [ClaimsKind.Journal, ClaimsKind.JournalUnowned]) {
    it(`run each key at most once and tell no false outcome: ${kind}`, async () => {
      let serviceRuns = 0;
      const property = fc.asyncProperty(
        fc.integer({ min: 0, max: MAX_SEED }),
        async seed => {
          const counts = await new Interleaving(kind, seed).play();
          assert.equal(counts.doubleRuns, 0);
          assert.equal(counts.falseNotRun, 0);
          assert.equal(counts.falseRan, 0);
          serviceRuns += counts.serviceRuns;
        },
      );
      await fc.assert(property, { seed: SEED, numRuns: RUNS });
      assert.ok(serviceRuns >= RUNS);
    });
  }
});
