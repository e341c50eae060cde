import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { bundleProgram } from './bundle-program.js';
import { ProcessSoak } from './process-soak.js';
import type { SoakProfile } from './soak-profile.js';

/** Run of a soak in a test. */
export interface SoakTest {
  readonly profile: SoakProfile;
  readonly seed: number;
  readonly durationMs: number;
}

/** Defines a suite of soaks, each of which must break no guarantee. */
export function describeSoaks(title: string, tests: readonly SoakTest[]): void {
  void describe(title, () => {
    const program = bundleProgram();
    for (const { durationMs, profile, seed } of tests) {
      void it(`answer or refuse all requests with seed ${seed} of profile ${profile}`, async () => {
        const soak = new ProcessSoak(seed, program, profile);
        const { violations } = await soak.run(durationMs);
        assert.equal(violations.join('\n'), '');
      });
    }
  });
}
