import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { SeededRandom } from '../ports/index.js';
import { LoopDelayShedder } from './index.js';

const PRIORITIES = [0, 1, 2, 3];

function create() {
  const shedder = new LoopDelayShedder(new SeededRandom(1));
  // Tells the shedder which priorities there are.
  shedPriorities(shedder);
  return shedder;
}

function shedPriorities(shedder: LoopDelayShedder): readonly number[] {
  return PRIORITIES.filter(priority => {
    const request = { priority, objectiveAtMs: 500, deadlineAtMs: 4_000 };
    return shedder.refusedForMs(request, 0) !== undefined;
  });
}

describe('LoopDelayShedder', () => {
  it('sheds the least urgent first while the loop is late, never the most urgent for that', () => {
    const shedder = create();
    const seen: number[] = [];
    for (let sample = 0; sample < 12; sample += 1) {
      shedder.recordDelay(120);
      const shed = shedPriorities(shedder);
      assert.deepEqual(shed, PRIORITIES.slice(PRIORITIES.length - shed.length));
      seen.push(shed.length);
    }
    assert.deepEqual(seen, [0, 0, 1, 2, 3, 3, 3, 3, 3, 3, 3, 3]);
  });

  it('sheds nothing after a single pause of the process', () => {
    const shedder = create();
    for (const delayMs of [1, 20_000, 2, 1, 1]) {
      shedder.recordDelay(delayMs);
      assert.deepEqual(shedPriorities(shedder), []);
    }
  });

  it('takes requests again once the loop is in time', () => {
    const shedder = create();
    for (let sample = 0; sample < 12; sample += 1) shedder.recordDelay(120);
    for (let sample = 0; sample < 9; sample += 1) shedder.recordDelay(1);
    assert.deepEqual(shedPriorities(shedder), []);
  });

  it('refuses whatever it cannot forward by its deadline', () => {
    const shedder = create();
    for (let sample = 0; sample < 3; sample += 1) shedder.recordDelay(400);
    const request = { priority: 0, objectiveAtMs: 500, deadlineAtMs: 1_500 };
    const returnInMs = shedder.refusedForMs(request, 0) ?? 0;
    assert.ok(returnInMs >= 50 && returnInMs <= 500);
  });
});
