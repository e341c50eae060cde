import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { ClaimsVariant } from './claims-variant.js';
import { InterleavingRun } from './interleaving-run.js';

const SEED = 404;
const RUNS = 150;
const MAX_SEED = 1_000_000_000;

describe('InterleavingRun', () => {
  for (const variant of [
    ClaimsVariant.Journal,
    ClaimsVariant.JournalWithoutOwners,
  ]) {
    it(`executes each key at most once and reports no false outcome: ${variant}`, async () => {
      let serviceRuns = 0;
      const property = fc.asyncProperty(
        fc.integer({ min: 0, max: MAX_SEED }),
        async seed => {
          const counts = await new InterleavingRun(variant, seed).run();
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
