import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { SoakCallKind } from '../gateway/index.js';
import type { ProcessCall } from './loss-checks.js';
import { ActKind } from './loss-checks.js';
import { findLateWaits, findRefusedRuns } from './queue-checks.js';

const refused: ProcessCall = {
  id: 'c1',
  kind: SoakCallKind.Lookup,
  gatewayId: 'g1',
  status: 503,
  text: '',
  startedAtMs: 1_000,
  wholeAtMs: 1_000,
  endedAtMs: 3_000,
  deadlineAtMs: 2_500,
  isReused: false,
  error: '',
};
const served = { ...refused, status: 200 };
const run = { requestId: 'c1', endpointId: 'e1', atMs: 2_900, endedAtMs: 0 };
const holdUp = { kind: ActKind.HoldUp, subject: 'g1', detail: '' };

// Checks that no run can fail would pass a soak whose queue keeps requests too long.
describe('findLateWaits', () => {
  it('finds a refusal after the deadline', () => {
    const record = { calls: [refused], runs: [], acts: [] };
    assert.equal(findLateWaits(record).length, 1);
  });

  it('finds a first dispatch after the deadline', () => {
    const record = { calls: [served], runs: [run], acts: [] };
    assert.equal(findLateWaits(record).length, 1);
  });

  it('accepts a late answer to a request that was sent in time', () => {
    const runs = [{ ...run, atMs: 2_000 }, run];
    assert.deepEqual(findLateWaits({ calls: [served], runs, acts: [] }), []);
  });

  it('accepts a request that the link to its endpoint held back', () => {
    const act = { ...holdUp, kind: ActKind.EndpointLink, subject: 'e1' };
    const acts = [{ ...act, fromMs: 1_100, untilMs: 2_890 }];
    assert.deepEqual(findLateWaits({ calls: [served], runs: [run], acts }), []);
  });

  it('accepts a refusal that is late because its daemon waited for a processor', () => {
    const probe = { ...holdUp, kind: ActKind.Probe, processorWaitMs: 400 };
    const acts = [{ ...probe, fromMs: 2_000, untilMs: 3_000 }];
    assert.deepEqual(findLateWaits({ calls: [refused], runs: [], acts }), []);
  });

  it('excuses no more than the time for which the daemon was paused', () => {
    const lines = [2_400, 2_800].map(fromMs => {
      const acts = [{ ...holdUp, fromMs, untilMs: 2_900 }];
      return findLateWaits({ calls: [refused], runs: [], acts }).length;
    });
    assert.deepEqual(lines, [0, 1]);
  });
});

describe('findRefusedRuns', () => {
  it('finds a refused request of any kind that ran, and no served one', () => {
    const counts = [refused, served].map(
      call => findRefusedRuns({ calls: [call], runs: [run], acts: [] }).length,
    );
    assert.deepEqual(counts, [1, 0]);
  });
});
