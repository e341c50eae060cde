import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { bundleProgram } from './bundle-program.js';
import { ProcessSoak } from './process-soak.js';

const SEEDS = [1, 3, 90];
const DURATION_MS = 12_000;

describe('daemons as processes under overlapping faults', () => {
  const program = bundleProgram();
  for (const seed of SEEDS) {
    it(`answer or refuse all requests with seed ${seed}`, async () => {
      const soak = new ProcessSoak(seed, program);
      const { violations } = await soak.run(DURATION_MS);
      assert.equal(violations.join('\n'), '');
    });
  }
});
