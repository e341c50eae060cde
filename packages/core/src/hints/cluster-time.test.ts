import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { ClusterTime } from './cluster-time.js';

const SEED = 20_261_204;
const EPOCH_OFFSET_MS = 1_000_000;

describe('ClusterTime', () => {
  it('stays within the clock error of the actual time while fewer than half of the clocks have jumped', () => {
    const clock = fc.record({
      errorMs: fc.integer({ min: -20, max: 20 }),
      jumpMs: fc.integer({ min: -5_000, max: 5_000 }),
    });
    fc.assert(
      fc.property(
        fc.array(clock, { minLength: 9, maxLength: 9 }),
        fc.uniqueArray(fc.nat(8), { maxLength: 4 }),
        (clocks, jumped) => {
          const monotonicMs = 500;
          const wallsMs = clocks.map(
            ({ errorMs, jumpMs }, index) =>
              monotonicMs +
              EPOCH_OFFSET_MS +
              errorMs +
              (jumped.includes(index) ? jumpMs : 0),
          );
          const time = new ClusterTime(
            () => wallsMs[0] ?? 0,
            () => monotonicMs,
          );
          wallsMs.slice(1).forEach((wallMs, index) => {
            time.observe(`d${index}`, wallMs);
          });
          const errorMs = time.nowMs() - monotonicMs - EPOCH_OFFSET_MS;
          assert.ok(Math.abs(errorMs) <= 20);
        },
      ),
      { seed: SEED },
    );
  });

  it('discards peer offsets that are too old', () => {
    let monotonicMs = 0;
    const time = new ClusterTime(
      () => monotonicMs,
      () => monotonicMs,
    );
    time.observe('a', 9_000);
    time.observe('b', 9_000);
    assert.equal(time.nowMs(), 9_000);
    monotonicMs = 6_000;
    assert.equal(time.nowMs(), 6_000);
  });

  // The offsets are kept sorted; a wrong index would let the offset of one peer stand for another's.
  it('is the median of the own clock and of the offsets that are not too old', () => {
    const reading = fc.record({
      daemon: fc.nat(5),
      waitMs: fc.nat(3_000),
      offsetMs: fc.integer({ min: -50, max: 50 }),
    });
    const property = fc.property(fc.array(reading), readings => {
      let monotonicMs = 0;
      const time = new ClusterTime(
        () => monotonicMs + 7,
        () => monotonicMs,
      );
      const offsets = new Map<number, { offsetMs: number; atMs: number }>();
      for (const { daemon, offsetMs, waitMs } of readings) {
        monotonicMs += waitMs;
        time.observe(`d${daemon}`, monotonicMs + offsetMs);
        offsets.set(daemon, { offsetMs, atMs: monotonicMs });
        const sorted = [...offsets.values()]
          .filter(({ atMs }) => monotonicMs - atMs <= 5_000)
          .map(each => each.offsetMs)
          .concat(7)
          .sort((left, right) => left - right);
        const [low, high] = [(sorted.length - 1) >>> 1, sorted.length >>> 1];
        const median = ((sorted[low] ?? 0) + (sorted[high] ?? 0)) / 2;
        assert.equal(time.nowMs(), monotonicMs + median);
      }
    });
    fc.assert(property, { seed: SEED });
  });
});
