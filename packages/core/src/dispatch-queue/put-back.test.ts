import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { sampleQueue, sampleQueued, sampleRoom } from './fakes/index.js';
import type { DispatchQueue, QueuedRequest } from './index.js';
import { QueueDecisionKind } from './index.js';

/** More places than requests wait. */
const ROOM = sampleRoom(40, { isKnown: true });
const CLOSED = sampleRoom(40, { openSlots: 0 });

/**
 * Lets endpoints take one request at a time, and returns these; the others are put
 * back, and a request like the one that was sent arrives.
 */
function sendOneByOne(
  queue: DispatchQueue,
  waiting: readonly QueuedRequest[],
  count: number,
): readonly QueuedRequest[] {
  const byId = new Map(waiting.map(each => [each.requestId, each]));
  return Array.from({ length: count }, (_, turn) => {
    const [first, ...rest] = queue
      .advance(ROOM, turn)
      .filter(({ kind }) => kind === QueueDecisionKind.Send)
      .flatMap(({ requestId }) => byId.get(requestId) ?? []);
    for (const request of rest) queue.putBack(request, turn);
    assert.ok(first !== undefined);
    const next = { ...first, requestId: `new-${turn}`, receivedAtMs: turn };
    byId.set(next.requestId, next);
    enqueue(queue, [next], turn);
    return first;
  });
}

/** Queues requests while no endpoint may be sent any. */
function enqueue(
  queue: DispatchQueue,
  waiting: readonly QueuedRequest[],
  nowMs = 0,
): void {
  for (const request of waiting) {
    const { kind } = queue.offer(request, CLOSED, nowMs);
    assert.equal(kind, QueueDecisionKind.Wait);
  }
}

describe('DispatchQueue.putBack', () => {
  // The turns of the oldest all fell on requests that were put back.
  it('sends the oldest request within ten others that endpoints take one at a time', () => {
    const queue = sampleQueue();
    const oldest = sampleQueued('oldest', { priority: 9, receivedAtMs: -1 });
    const others = Array.from({ length: 9 }, (_, index) =>
      sampleQueued(`other-${index}`),
    );
    const waiting = [oldest, ...others];
    enqueue(queue, waiting);
    assert.ok(sendOneByOne(queue, waiting, 10).includes(oldest));
  });

  // A workspace paid for each attempt to send a request: the one with more waiting requests got no further turn.
  it('charges a workspace only for requests that are sent', () => {
    const queue = sampleQueue();
    const waiting = Array.from({ length: 9 }, (_, index) =>
      sampleQueued(`many-${index}`, { workspace: 'many' }),
    );
    waiting.push(sampleQueued('few', { workspace: 'few' }));
    enqueue(queue, waiting);
    const sent = sendOneByOne(queue, waiting, 20);
    const fewCount = sent.filter(each => each.workspace === 'few').length;
    assert.ok(Math.abs(fewCount - 10) <= 2); // every tenth is the oldest, of either workspace
  });

  it('does not count requests that are put back in the rate at which the queue drains', () => {
    const queue = sampleQueue();
    const waiting = Array.from({ length: 30 }, (_, index) =>
      sampleQueued(`long-${index}`, { deadlineAtMs: 60_000 }),
    );
    enqueue(queue, waiting);
    sendOneByOne(queue, waiting, 10);
    queue.advance(CLOSED, 800);
    // Ten in 800 ms: those that still wait take more than 2 s.
    const late = sampleQueued('late', {
      deadlineAtMs: 61_000,
      expectedServiceMs: 59_000,
      objectiveAtMs: 61_000,
    });
    const decision = queue.offer(late, CLOSED, 800);
    assert.equal(decision.kind, QueueDecisionKind.Refuse);
  });

  // It used up the slot that an endpoint had reported free, and waited a second for the next report.
  it('leaves the free slot of a report to a request that is put back', () => {
    const queue = sampleQueue();
    const full = sampleRoom(4, { isKnown: true });
    for (let sent = 0; sent < 5; sent += 1)
      queue.offer(sampleQueued(`busy-${sent}`), full, 0);
    const request = sampleQueued('r');
    assert.equal(queue.offer(request, full, 0).kind, QueueDecisionKind.Wait);
    const free = { ...full, freeSlots: 1 };
    assert.equal(queue.advance(free, 10).length, 1);
    queue.putBack(request, 10);
    assert.equal(queue.advance(free, 60).length, 1);
    queue.offer(sampleQueued('next'), full, 60);
    assert.equal(queue.advance(free, 70).length, 0);
  });
});
