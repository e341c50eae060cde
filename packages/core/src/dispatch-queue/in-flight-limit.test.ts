import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { InFlightLimit } from './index.js';

const SHARE = 20;
const FULL = { running: 16, waiting: 16, slots: 16 };
const FREE = { running: 8, waiting: 0, slots: 16 };
/** Interval of the reports that a daemon reads. */
const INTERVAL_MS = 150;

/** Feeds the same report at intervals, and returns the time afterwards. */
function feed(
  limit: InFlightLimit,
  load: typeof FULL,
  reports: number,
  fromMs = 0,
): number {
  let nowMs = fromMs;
  for (let report = 0; report < reports; report += 1) {
    nowMs += INTERVAL_MS;
    limit.recordLoad(load, SHARE, true, nowMs);
  }
  return nowMs;
}

describe('InFlightLimit', () => {
  it('decreases where endpoints report more than they run, to half within the shortest deadline, and no less than half the share', () => {
    const limit = new InFlightLimit();
    const before = limit.current(SHARE, 0);
    const nowMs = feed(limit, FULL, 26); // 3.9 s of 4
    assert.ok(limit.current(SHARE, nowMs) <= before / 2);
    const endMs = feed(limit, FULL, 100, nowMs);
    assert.equal(limit.current(SHARE, endMs), SHARE / 2);
  });

  it('increases again while endpoints report free slots, but not unused', () => {
    const limit = new InFlightLimit();
    const fullMs = feed(limit, FULL, 30);
    const lowest = limit.current(SHARE, fullMs);
    const freeMs = feed(limit, FREE, 40, fullMs);
    const highest = limit.current(SHARE, freeMs);
    assert.ok(highest >= lowest + 10);
    limit.recordLoad(FREE, SHARE, false, freeMs + INTERVAL_MS);
    assert.equal(limit.current(SHARE, freeMs + INTERVAL_MS), highest);
  });

  it('does not decrease for one full endpoint or one rejection among others with free slots', () => {
    const limit = new InFlightLimit();
    let nowMs = feed(limit, FREE, 10);
    const before = limit.current(SHARE, nowMs);
    limit.recordLoad(FULL, SHARE, true, (nowMs += INTERVAL_MS));
    limit.recordRejection(SHARE, nowMs);
    assert.ok(limit.current(SHARE, nowMs) >= before);
  });

  it('decreases for rejections of endpoints that report no load, once in half a second', () => {
    const limit = new InFlightLimit();
    const before = limit.current(SHARE, 0);
    limit.recordRejection(SHARE, 10);
    limit.recordRejection(SHARE, 20);
    assert.equal(limit.current(SHARE, 20), before / 2);
    limit.recordRejection(SHARE, 600);
    assert.ok(limit.current(SHARE, 600) < before / 2);
  });

  it('forgets a decrease after a time without reports, so that an idle group serves', () => {
    const limit = new InFlightLimit();
    const before = limit.current(SHARE, 0);
    const nowMs = feed(limit, FULL, 30);
    assert.ok(limit.current(SHARE, nowMs) < before);
    assert.equal(limit.current(SHARE, nowMs + 6_000), before);
  });

  // The age of the request counted as that of the last report, so that all that was learned was forgotten.
  it('forgets nothing by the rejection of a request that was sent long ago', () => {
    const limit = new InFlightLimit();
    const nowMs = feed(limit, FULL, 60);
    const before = limit.current(SHARE, nowMs);
    assert.ok(before < SHARE);
    limit.recordRejection(SHARE, nowMs - 4_900);
    assert.ok(limit.current(SHARE, nowMs + 200) <= before);
  });

  it('follows the number of slots and of daemons', () => {
    const limit = new InFlightLimit();
    const nowMs = feed(limit, FULL, 6);
    const before = limit.current(SHARE, nowMs);
    assert.equal(limit.current(SHARE * 2, nowMs), before * 2);
  });

  it('lets short requests wait at endpoints, where the wait is short too', () => {
    const limit = new InFlightLimit();
    limit.recordHold(30);
    const before = limit.current(SHARE, 0);
    const load = { running: 6, waiting: 2, slots: 6 };
    const nowMs = feed(limit, load, 30);
    assert.ok(limit.current(SHARE, nowMs) >= before);
  });
});
