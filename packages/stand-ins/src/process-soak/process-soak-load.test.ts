import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { bundleProgram } from './bundle-program.js';
import { ProcessSoak } from './process-soak.js';
import { SoakProfile } from './soak-profile.js';

const DURATION_MS = 12_000;
const SHORT_DURATION_MS = 6_000;
const RUNS: readonly (readonly [SoakProfile, number, number])[] = [
  [SoakProfile.Cold, 4, DURATION_MS],
  [SoakProfile.Store, 7, SHORT_DURATION_MS],
];

describe('daemons before cold endpoints or with a queue, under overlapping faults', () => {
  const program = bundleProgram();
  for (const [profile, seed, durationMs] of RUNS) {
    it(`answer or refuse all requests with seed ${seed} of profile ${profile}`, async () => {
      const soak = new ProcessSoak(seed, program, profile);
      const { violations } = await soak.run(durationMs);
      assert.equal(violations.join('\n'), '');
    });
  }
});
