import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { FairQueue } from './fair-queue.js';

function createQueue(
  workspaces: Readonly<Record<string, number>>,
  count: number,
) {
  const queue = new FairQueue();
  for (const [workspace, weight] of Object.entries(workspaces)) {
    for (let item = 0; item < count; item += 1) {
      queue.push({ workspace, weight, cost: 10 });
    }
  }
  return queue;
}

describe('FairQueue', () => {
  it('serves workspaces in proportion to their weights while all have queued items', () => {
    const weights = fc.record({
      north: fc.integer({ min: 1, max: 5 }),
      south: fc.integer({ min: 1, max: 5 }),
    });
    fc.assert(
      fc.property(weights, ({ north, south }) => {
        const queue = createQueue({ north, south }, 100);
        const served = { north: 0, south: 0 };
        for (let turn = 0; turn < 60; turn += 1) {
          const item = queue.pop();
          if (item?.workspace === 'north') served.north += 1;
          if (item?.workspace === 'south') served.south += 1;
        }
        const fairNorth = (60 * north) / (north + south);
        assert.ok(Math.abs(served.north - fairNorth) <= 2);
      }),
      { seed: 7, numRuns: 100 },
    );
  });

  it('serves a small workspace promptly despite the long queue of a large one', () => {
    const queue = createQueue({ large: 1 }, 500);
    queue.pop();
    queue.push({ workspace: 'small', weight: 1, cost: 10 });
    const next = [queue.pop(), queue.pop(), queue.pop()];
    assert.ok(next.some(item => item?.workspace === 'small'));
  });

  it('keeps its size correct after removals', () => {
    const queue = createQueue({ north: 1, south: 1 }, 3);
    const removed = queue.removeWhere((_item, ahead) => ahead >= 4);
    assert.equal(queue.size, 6 - removed.length);
    assert.ok(removed.length > 0);
    queue.drain();
    assert.equal(queue.size, 0);
    assert.equal(queue.pop(), undefined);
  });
});
