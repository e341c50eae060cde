import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ManualClock } from '@skylarkreach/core/ports';

import { Heartbeat, HEARTBEAT_INTERVAL_MS } from './heartbeat.js';

describe('Heartbeat', () => {
  it('writes only after an interval without other writes, until it is stopped', async () => {
    const clock = new ManualClock();
    const writeTimesMs: number[] = [];
    const heartbeat = new Heartbeat(clock, () =>
      writeTimesMs.push(clock.nowMs()),
    );
    await clock.advanceTo(HEARTBEAT_INTERVAL_MS - 1_000);
    heartbeat.recordWrite();
    await clock.advanceTo(2 * HEARTBEAT_INTERVAL_MS);
    heartbeat.stop();
    await clock.advanceTo(10 * HEARTBEAT_INTERVAL_MS);
    assert.deepEqual(writeTimesMs, [2 * HEARTBEAT_INTERVAL_MS - 1_000]);
  });
});
