import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ManualClock } from './clock.js';

describe('ManualClock', () => {
  it('resolves waits in the order of their deadlines', async () => {
    const clock = new ManualClock(100);
    const resolvedAtMs: number[] = [];
    void clock.waitUntil(300).then(() => resolvedAtMs.push(clock.nowMs()));
    void clock.waitUntil(200).then(() => resolvedAtMs.push(clock.nowMs()));
    await clock.advanceTo(250);
    assert.deepEqual(resolvedAtMs, [200]);
    await clock.advanceTo(400);
    assert.deepEqual(resolvedAtMs, [200, 300]);
  });

  it('rejects a wait if its signal is aborted', async () => {
    const clock = new ManualClock();
    const controller = new AbortController();
    const wait = clock.waitUntil(10, controller.signal);
    controller.abort(new Error('stopped'));
    await assert.rejects(wait, /stopped/);
    assert.equal(clock.earliestDeadlineMs(), undefined);
  });
});
