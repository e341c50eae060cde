import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { SeededRandom } from '../ports/index.js';
import { sampleQueue, sampleQueued, sampleRoom } from './fakes/index.js';
import type { QueueDecision, QueuedRequest } from './index.js';
import {
  DispatchQueue,
  MAX_PASS_REQUESTS,
  QueueDecisionKind,
  QueueRefusal,
} from './index.js';

const SEED = 20_261_206;
const FULL = sampleRoom(4, { isKnown: true });
const { Refuse, Send, Wait } = QueueDecisionKind;

/** Sends requests until the daemon's limit of 5 in flight, a quarter above the 4 slots, is reached. */
function occupy(queue: DispatchQueue): void {
  for (let sent = 0; sent < 5; sent += 1) {
    const request = sampleQueued(`busy-${sent}`, { workspace: 'busy' });
    assert.equal(queue.offer(request, FULL, 0).kind, Send);
  }
}

function fullQueue(limits = {}): DispatchQueue {
  const queue = sampleQueue(limits);
  occupy(queue);
  return queue;
}

function offerAll(queue: DispatchQueue, requests: readonly QueuedRequest[]) {
  return requests.map(each => queue.offer(each, FULL, 0).kind);
}

function sentIds(decisions: readonly QueueDecision[]): readonly string[] {
  return decisions
    .filter(({ kind }) => kind === Send)
    .map(({ requestId }) => requestId);
}

/** Frees one place after another, and returns the ids in the order in which they were sent. */
function drain(queue: DispatchQueue, nowMs: number): readonly string[] {
  const ids: string[] = [];
  while (queue.length > 0) {
    queue.release(1_000, nowMs);
    const sent = sentIds(queue.advance(FULL, nowMs));
    if (sent.length === 0 && queue.inFlight === 0) break;
    ids.push(...sent);
  }
  return ids;
}

function refusalsOf(decisions: readonly QueueDecision[]) {
  return decisions.flatMap(each => (each.kind === Refuse ? [each] : []));
}

describe('DispatchQueue', () => {
  it('sends fewer requests than one at a time where its share of the slots is below one', () => {
    const queue = new DispatchQueue({
      random: new SeededRandom(1),
      limits: () => ({ maxRequests: 256, maxBytes: 1_000_000 }),
      daemonCount: () => 80,
    });
    const room = sampleRoom(24, { isKnown: true });
    queue.offer(sampleQueued('first'), room, 0);
    for (let nowMs = 0; nowMs < 5_000; nowMs += 100)
      queue.recordLoad({ running: 6, waiting: 12, slots: 6 }, nowMs);
    assert.ok(queue.inFlightLimit(5_000) < 1);
    queue.release(30, 5_000);
    const late = { objectiveAtMs: 9_000, deadlineAtMs: 9_000 };
    queue.offer(sampleQueued('second', late), room, 5_000);
    assert.deepEqual(queue.advance(room, 5_010), []);
    assert.deepEqual(sentIds(queue.advance(room, 6_000)), ['second']);
  });

  it('sends at once while there is room, and holds the next request', () => {
    const queue = fullQueue();
    assert.equal(queue.offer(sampleQueued('next'), FULL, 0).kind, Wait);
    queue.release(1_000, 100);
    assert.deepEqual(sentIds(queue.advance(FULL, 100)), ['next']);
  });

  // The turns of the oldest request were counted by sends from the queue alone, but taken back for all.
  it('keeps the turns of the oldest request if one is put back that was sent on arrival', () => {
    const queue = sampleQueue();
    const first = sampleQueued('first', { priority: 2 });
    assert.equal(queue.offer(first, FULL, 0).kind, Send);
    queue.putBack(first, 0);
    const urgent = { priority: 0, receivedAtMs: 1 };
    queue.offer(sampleQueued('urgent', urgent), FULL, 1);
    assert.deepEqual(sentIds(queue.advance(FULL, 1)), ['urgent', 'first']);
  });

  it('sends useful requests first, then by priority, then by deadline', () => {
    const queue = fullQueue();
    const requests = [
      sampleQueued('late', { priority: 0, objectiveAtMs: 50 }),
      sampleQueued('less urgent', { priority: 2, deadlineAtMs: 1_500 }),
      sampleQueued('far', { deadlineAtMs: 5_000 }),
      sampleQueued('near'),
      sampleQueued('urgent', { priority: 0, deadlineAtMs: 9_000 }),
    ];
    offerAll(queue, requests);
    const expected = ['urgent', 'near', 'far', 'less urgent', 'late'];
    assert.deepEqual(drain(queue, 10), expected);
  });

  it('never lets a less urgent request overtake an equally useful one, but for the share of the oldest', () => {
    const priorities = fc.array(fc.nat({ max: 3 }), { maxLength: 40 });
    fc.assert(
      fc.property(priorities, order => {
        const queue = fullQueue();
        const requests = order.map((priority, index) =>
          sampleQueued(`r${index}`, { priority, workspace: `w${index % 3}` }),
        );
        offerAll(queue, requests);
        const sent = drain(queue, 10);
        assert.equal(sent.length, order.length);
        const byOrder = sent.filter((_, index) => (index + 1) % 10 !== 0);
        const sentPriorities = byOrder.map(
          id => order[Number(id.slice(1))] ?? 0,
        );
        const sorted = [...sentPriorities].sort((one, other) => one - other);
        assert.deepEqual(sentPriorities, sorted);
      }),
      { seed: SEED },
    );
  });

  it('gives each of two workspaces half, whichever floods the queue', () => {
    const queue = fullQueue();
    const flood = Array.from({ length: 40 }, (_, index) =>
      sampleQueued(`flood-${index}`, {
        workspace: 'flood',
        deadlineAtMs: 3_000,
      }),
    );
    const few = Array.from({ length: 8 }, (_, index) =>
      sampleQueued(`few-${index}`, { workspace: 'few' }),
    );
    offerAll(queue, [...flood, ...few]);
    const first = drain(queue, 10).slice(0, 20);
    assert.equal(first.filter(id => id.startsWith('few')).length, 8);
  });

  it('sends a request of the least urgent kind within ten others', () => {
    const queue = fullQueue();
    const old = sampleQueued('old', { priority: 9, deadlineAtMs: 60_000 });
    queue.offer(old, FULL, 0);
    const sent: string[] = [];
    for (let step = 1; step <= 10; step += 1) {
      const nowMs = step * 10;
      const urgent = sampleQueued(`urgent-${step}`, {
        priority: 0,
        receivedAtMs: nowMs,
      });
      queue.offer(urgent, FULL, nowMs);
      queue.release(1_000, nowMs);
      sent.push(...sentIds(queue.advance(FULL, nowMs)));
    }
    assert.ok(sent.includes('old'));
  });

  it('keeps a part of the limit free of requests that are late', () => {
    const queue = fullQueue();
    const late = { objectiveAtMs: 0 };
    offerAll(queue, [sampleQueued('late', late)]);
    queue.release(1_000, 10);
    assert.deepEqual(queue.advance(FULL, 10), []);
    queue.offer(sampleQueued('useful'), FULL, 10);
    assert.deepEqual(sentIds(queue.advance(FULL, 10)), ['useful']);
  });

  it('refuses a request once it cannot be answered by its deadline, also after a pause of the daemon', () => {
    const queue = fullQueue();
    offerAll(queue, [
      sampleQueued('short', { deadlineAtMs: 1_000 }),
      sampleQueued('long', { deadlineAtMs: 60_000, objectiveAtMs: 50_000 }),
    ]);
    assert.deepEqual(queue.advance(FULL, 800), []);
    queue.release(1_000, 30_000);
    const decisions = queue.advance(FULL, 30_000);
    assert.equal(refusalsOf(decisions)[0]?.requestId, 'short');
    assert.deepEqual(sentIds(decisions), ['long']);
  });

  // It was sent, ran and ended after its caller had left.
  it('refuses a request that cannot be answered by its deadline although a place is free', () => {
    const queue = sampleQueue();
    const late = { deadlineAtMs: 1_000, expectedServiceMs: 300 };
    for (const room of [FULL, sampleRoom(0)]) {
      const decision = queue.offer(sampleQueued('late', late), room, 700);
      const [refusal] = refusalsOf([decision]);
      assert.equal(refusal?.reason, QueueRefusal.TooLate);
      assert.equal(queue.inFlight, 0);
    }
    const inTime = queue.offer(sampleQueued('in time', late), FULL, 699);
    assert.equal(inTime.kind, Send);
  });

  it('refuses at once what the queue will not reach in time, by the rate at which it drains', () => {
    const queue = fullQueue();
    const waiting = Array.from({ length: 30 }, (_, index) =>
      sampleQueued(`w${index}`, {
        deadlineAtMs: 90_000,
        objectiveAtMs: 80_000,
      }),
    );
    offerAll(queue, waiting);
    // One place in 100 ms.
    for (let nowMs = 100; nowMs <= 1_000; nowMs += 100) {
      queue.release(1_000, nowMs);
      queue.advance(FULL, nowMs);
    }
    const late = { deadlineAtMs: 2_000, objectiveAtMs: 1_200, priority: 9 };
    const decision = queue.offer(sampleQueued('late', late), FULL, 1_000);
    assert.equal(decision.kind, Refuse);
    const urgent = { deadlineAtMs: 2_000, objectiveAtMs: 2_000, priority: 0 };
    const next = queue.offer(sampleQueued('urgent', urgent), FULL, 1_000);
    assert.equal(next.kind, Wait);
  });

  it('asks refused callers to return at different times, within a third of what they have left', () => {
    const queue = fullQueue({ maxRequests: 1 });
    queue.offer(sampleQueued('waiting', { priority: 0 }), FULL, 0);
    const times = Array.from({ length: 20 }, (_, index) => {
      const deadlineAtMs = 600 + index * 100;
      const request = sampleQueued(`r${index}`, { deadlineAtMs });
      const [refusal] = refusalsOf([queue.offer(request, FULL, 0)]);
      assert.equal(refusal?.reason, QueueRefusal.QueueFull);
      assert.ok(refusal.retryInMs <= deadlineAtMs / 3);
      assert.ok(refusal.retryInMs >= 50);
      return Math.round(refusal.retryInMs);
    });
    assert.ok(new Set(times).size >= 15);
  });

  it('stays within its bounds in requests and bytes, and keeps the most valuable', () => {
    const request = fc.record({
      priority: fc.nat({ max: 3 }),
      bytes: fc.nat({ max: 400 }),
    });
    fc.assert(
      fc.property(fc.array(request, { maxLength: 40 }), offers => {
        const queue = fullQueue({ maxRequests: 8, maxBytes: 1_000 });
        const refused = new Set<string>();
        const offered = offers.map((each, index) =>
          sampleQueued(`r${index}`, each),
        );
        for (const each of offered) {
          const decisions = [
            queue.offer(each, FULL, 0),
            ...queue.advance(FULL, 0),
          ];
          for (const { requestId } of refusalsOf(decisions))
            refused.add(requestId);
          const kept = offered
            .slice(0, offered.indexOf(each) + 1)
            .filter(({ requestId }) => !refused.has(requestId));
          assert.equal(kept.length, queue.length);
          assert.ok(kept.length <= 8);
          const bytes = kept.reduce((sum, { bytes: size }) => sum + size, 0);
          assert.ok(bytes <= 1_000);
        }
      }),
      { seed: SEED },
    );
  });

  it('displaces the workspace that fills the queue, and not a more urgent request', () => {
    const queue = fullQueue({ maxRequests: 4 });
    const flood = Array.from({ length: 4 }, (_, index) =>
      sampleQueued(`flood-${index}`, { workspace: 'flood' }),
    );
    offerAll(queue, flood);
    const other = sampleQueued('other', { workspace: 'other' });
    assert.equal(queue.offer(other, FULL, 0).kind, Wait);
    const [displaced] = refusalsOf(queue.advance(FULL, 0));
    assert.match(displaced?.requestId ?? '', /^flood/);
    const less = sampleQueued('less', { workspace: 'third', priority: 2 });
    assert.equal(queue.offer(less, FULL, 0).kind, Refuse);
  });

  it('frees the place of a caller that has left, and sends nothing for it', () => {
    const queue = fullQueue({ maxRequests: 1 });
    queue.offer(sampleQueued('gone'), FULL, 0);
    queue.remove('gone');
    assert.equal(queue.offer(sampleQueued('next'), FULL, 0).kind, Wait);
    queue.release(1_000, 10);
    assert.deepEqual(sentIds(queue.advance(FULL, 10)), ['next']);
  });

  // After a pause one pass decided on all waiting requests, and kept a late event loop busy meanwhile.
  it('decides on few requests in one pass, and on all in further ones', () => {
    const queue = fullQueue();
    const long = { deadlineAtMs: 90_000, objectiveAtMs: 90_000 };
    const requests = Array.from({ length: 60 }, (_, index) =>
      sampleQueued(`r${index}`, index % 2 === 0 ? long : {}),
    );
    offerAll(queue, requests);
    const room = sampleRoom(100);
    const sent: string[] = [];
    const refused: string[] = [];
    do {
      const decisions = queue.advance(room, 30_000);
      assert.ok(sentIds(decisions).length <= MAX_PASS_REQUESTS);
      assert.ok(refusalsOf(decisions).length <= MAX_PASS_REQUESTS);
      sent.push(...sentIds(decisions));
      refused.push(...refusalsOf(decisions).map(each => each.requestId));
    } while (queue.isBehind);
    assert.equal(new Set(sent).size, 30);
    assert.equal(new Set(refused).size, 30);
    assert.ok(sent.every(id => Number(id.slice(1)) % 2 === 0));
  });

  it('lets few late requests go in one pass while all endpoints withhold themselves', () => {
    const queue = sampleQueue();
    const closed = sampleRoom(40, { openSlots: 0 });
    for (let index = 0; index < 20; index += 1)
      queue.offer(sampleQueued(`r${index}`), closed, 0);
    const first = sentIds(queue.advance(closed, 1_000));
    assert.equal(first.length, MAX_PASS_REQUESTS);
    assert.ok(queue.isBehind);
  });

  it('refuses all that wait when the daemon stops, to return at once', () => {
    const queue = fullQueue();
    offerAll(queue, [sampleQueued('a'), sampleQueued('b')]);
    const refusals = refusalsOf(queue.refuseWaiting());
    assert.deepEqual(
      refusals.map(({ reason, retryInMs }) => [reason, retryInMs]),
      [
        [QueueRefusal.Stopping, 0],
        [QueueRefusal.Stopping, 0],
      ],
    );
    assert.equal(queue.length, 0);
  });

  it('sends one request beyond its limit for each endpoint that reports a free slot', () => {
    const queue = fullQueue();
    const room = sampleRoom(4, { isKnown: true, freeSlots: 1 });
    assert.equal(queue.offer(sampleQueued('a'), room, 10).kind, Send);
    assert.equal(queue.offer(sampleQueued('b'), room, 10).kind, Wait);
  });

  it('holds requests while all endpoints withhold themselves, and lets them go where there is none', () => {
    const queue = sampleQueue();
    const closed = sampleRoom(4, { openSlots: 0 });
    assert.equal(queue.offer(sampleQueued('a'), closed, 0).kind, Wait);
    assert.deepEqual(queue.advance(closed, 50), []);
    assert.deepEqual(sentIds(queue.advance(sampleRoom(0), 100)), ['a']);
  });

  it('lets requests that are late go where all endpoints withhold themselves, to be refused at once', () => {
    const queue = sampleQueue();
    const closed = sampleRoom(4, { openSlots: 0 });
    queue.offer(sampleQueued('a'), closed, 0);
    assert.deepEqual(sentIds(queue.advance(closed, 1_000)), ['a']);
    const late = sampleQueued('late', { objectiveAtMs: 50 });
    assert.equal(queue.offer(late, closed, 0).kind, Send);
  });
});
