import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { LogComponent, ManualClock, noopLog } from '@skylarkreach/core/ports';

import { createIntervalLoop, createPollerLoop } from './loop.js';

const START_MS = 1_003.4;
const END_MS = 3_000;
const MS_PER_READING = 0.001;

/** Clock on which some time passes between two readings. */
class RunningClock extends ManualClock {
  private readings = 0;

  override nowMs(): number {
    this.readings += 1;
    return super.nowMs() + this.readings * MS_PER_READING;
  }
}

describe('Loop', () => {
  const stepTimes = async (
    addLoops: (clock: ManualClock, record: () => void) => void,
  ): Promise<readonly number[]> => {
    const clock = new RunningClock(START_MS);
    const times: number[] = [];
    addLoops(clock, () => times.push(clock.nowMs()));
    await clock.advanceTo(END_MS);
    return times;
  };

  it('runs steps that are due at about the same time together', async () => {
    const times = await stepTimes((clock, record) => {
      for (const [intervalMs, stepMs] of [
        [100, 3],
        [200, 11],
        [250, 0],
        [500, 17],
      ] as const) {
        const step = async () => {
          record();
          await clock.waitUntil(clock.nowMs() + stepMs);
        };
        const deps = { clock, log: noopLog };
        const part = LogComponent.Daemon;
        createIntervalLoop(deps, part, 'test', intervalMs, step).start();
      }
    });
    // 20 of the first loop, 10, 8 and 4 of the others.
    assert.equal(times.length, 42);
    const distinct = new Set(times.map(timeMs => Math.round(timeMs)));
    // The times of the first loop, and those of the third one between them.
    assert.equal(distinct.size, 24);
  });

  it('runs a poller exactly when it says, unless it may be shifted', async () => {
    const wakeTimes = (mayShift: boolean) =>
      stepTimes((clock, record) => {
        const step = () => {
          record();
          return Promise.resolve();
        };
        const nextAtMs = (nowMs: number) => nowMs + 117;
        const deps = { clock, log: noopLog };
        const poller = { step, nextAtMs, mayShift };
        createPollerLoop(deps, LogComponent.Daemon, 'test', poller).start();
      });
    const [, exactMs] = await wakeTimes(false);
    assert.equal(Math.round(exactMs ?? 0), Math.round(START_MS + 117));
    const [, shiftedMs] = await wakeTimes(true);
    assert.equal(Math.round(shiftedMs ?? 0), Math.round(START_MS + 100));
  });
});
