import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { maxNewsAgeMs } from './fakes/index.js';

const FAN_OUT = 4;

describe('news of reads, passed on with the hints', () => {
  for (const daemons of [9, 64, 200, 300]) {
    it(`is known to all of ${daemons} daemons within 2 s, and within 4 s with lost messages and daemons that receive no calls`, () => {
      for (const seed of [1, 2, 3]) {
        const options = { daemons, fanOut: FAN_OUT, isPassedOn: true, seed };
        const calm = { lostShare: 0, deafShare: 0 };
        const calmMs = maxNewsAgeMs({ ...options, ...calm });
        assert.ok(calmMs <= 2_000, `${calmMs} ms with seed ${seed}`);
        const rough = { lostShare: 0.05, deafShare: 0.1 };
        const roughMs = maxNewsAgeMs({ ...options, ...rough });
        assert.ok(roughMs <= 4_000, `${roughMs} ms with seed ${seed}`);
      }
    });
  }
});
