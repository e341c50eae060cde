import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { sampleQueue, sampleQueued, sampleRoom } from './fakes/index.js';
import { QueueDecisionKind } from './index.js';

const FULL = sampleRoom(4, { isKnown: true });

describe('DispatchQueue by the turns of the workspaces', () => {
  // All requests of a workspace that flooded the queue counted as before it, though it had the next turn.
  it('does not refuse a workspace whose turn is near because another one fills the queue', () => {
    const queue = sampleQueue();
    // The limit in flight is a quarter above the slots.
    for (let sent = 0; sent < 5; sent += 1)
      queue.offer(sampleQueued(`busy-${sent}`), FULL, 0);
    const flood = Array.from({ length: 60 }, (_, index) =>
      sampleQueued(`flood-${index}`, {
        workspace: 'flood',
        deadlineAtMs: 80_000,
        objectiveAtMs: 80_000,
      }),
    );
    for (const each of flood) queue.offer(each, FULL, 0);
    // One place in 100 ms: the rest of the flood takes 5 s.
    for (let nowMs = 100; nowMs <= 1_000; nowMs += 100) {
      queue.release(1_000, nowMs);
      queue.advance(FULL, nowMs);
    }
    const few = sampleQueued('few', {
      workspace: 'few',
      deadlineAtMs: 85_000,
      objectiveAtMs: 85_000,
      expectedServiceMs: 82_500, // to be sent within 1.5 s
    });
    const offered = queue.offer(few, FULL, 1_000);
    assert.equal(offered.kind, QueueDecisionKind.Wait);
    assert.deepEqual(queue.advance(FULL, 1_300), []);
    queue.release(1_000, 1_300);
    assert.deepEqual(queue.advance(FULL, 1_300), [
      { kind: QueueDecisionKind.Send, requestId: 'few' },
    ]);
  });
});
