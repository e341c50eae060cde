import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { findEvacuatedRuns } from './evacuation-faults.js';
import { ActKind } from './loss-checks.js';

describe('findEvacuatedRuns', () => {
  // A check that no run can fail would pass a soak in which evacuations do nothing.
  it('finds exactly the requests that reach an evacuated data centre after the bound and before the end', () => {
    const act = {
      kind: ActKind.Evacuate,
      subject: 'north-2',
      detail: '',
      fromMs: 1_000,
      untilMs: 8_000,
    };
    const runs = [5_900, 6_100, 7_900, 8_100].flatMap(atMs =>
      ['e1', 'e2'].map(endpointId => ({
        requestId: `${endpointId}/${atMs}`,
        endpointId,
        atMs,
        endedAtMs: atMs,
      })),
    );
    const lines = findEvacuatedRuns(runs, [act], id =>
      id === 'e2' ? 'north-2' : 'north-1',
    );
    const ids = lines.map(line => line.split(' ')[0]);
    assert.deepEqual(ids, ['e2/6100', 'e2/7900']);
  });
});
