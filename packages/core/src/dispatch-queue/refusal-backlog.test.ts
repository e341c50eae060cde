import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { sampleQueue, sampleQueued, sampleRoom } from './fakes/index.js';
import { QueueDecisionKind } from './index.js';

const CLOSED = sampleRoom(4, { openSlots: 0 });

describe('requests that have left a queue and are to be refused', () => {
  // With more arrivals in a turn of the event loop than a pass refuses, displaced requests were held without bound.
  it('are at most as many and as large as those that may wait', () => {
    for (const limits of [{ maxRequests: 4 }, { maxBytes: 400 }]) {
      const queue = sampleQueue(limits);
      const held = new Set<string>();
      for (let index = 0; index < 100; index += 1) {
        const request = sampleQueued(`r${index}`, { priority: 100 - index });
        const { kind } = queue.offer(request, CLOSED, 0);
        if (kind === QueueDecisionKind.Wait) held.add(request.requestId);
      }
      assert.equal(held.size, 8);
      for (const { requestId } of queue.refuseWaiting()) held.delete(requestId);
      assert.equal(held.size, 0);
    }
  });
});
