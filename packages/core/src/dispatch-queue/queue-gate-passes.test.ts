import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ForwardError, ForwardErrorKind } from '../forwarding/index.js';
import { GateHarness, sampleCall, sampleRoom } from './fakes/index.js';
import { MAX_PASS_REQUESTS } from './index.js';

describe('QueueGate.dumpState', () => {
  // Operators could not see why requests waited or were refused.
  it('shows what waits, for how long, and the limit in flight with what it was learned from', async () => {
    const harness = new GateHarness();
    harness.offer('a');
    const load = { running: 4, waiting: 0, slots: 4 };
    harness.gate.recordLoad('engines', load, 0);
    harness.offer('b');
    harness.offer('c');
    harness.offer('d', { workspace: 'kowhai' });
    harness.offer('e', { workspace: 'lumela', priority: 3 });
    await harness.advance(40);
    const [group] = harness.gate.dumpState(40);
    assert.equal(group?.group, 'engines');
    assert.equal(group.waiting, 2);
    assert.equal(group.waitingBytes, 200);
    assert.deepEqual(group.waitingByWorkspace, { kowhai: 1, lumela: 1 });
    assert.deepEqual(group.waitingByPriority, { 1: 1, 3: 1 });
    assert.equal(group.oldestWaitedMs, 40);
    assert.equal(group.inFlight, 3);
    assert.equal(group.inFlightLimit, 3);
    assert.equal(group.equalShare, 1);
    assert.equal(group.sentPerSecond, undefined);
    assert.equal(group.limit.reportedAgoMs, 40);
    assert.equal(group.limit.highPressure, 1.1);
    assert.ok(group.limit.pressure > 0);
    assert.doesNotThrow(() => JSON.stringify(group));
  });
});

describe('a pass over the queues', () => {
  // Each request refused on its way to an endpoint used a turn of its workspace.
  it('charges a workspace nothing for requests that are refused as they leave the queue', async () => {
    const harness = new GateHarness();
    const passes = harness.fill();
    const times = { deadlineAtMs: 60_000, objectiveAtMs: 60_000 };
    const refused = new ForwardError(ForwardErrorKind.AllowanceSpent, 'spent');
    for (let index = 0; index < 4; index += 1) {
      const pass = harness.gate.open(
        sampleCall({ ...times, workspace: 'refused', priority: 0 }),
      );
      const reserve = () => {
        throw refused;
      };
      void assert.rejects(
        pass.reserve(reserve, new AbortController().signal),
        /spent/,
      );
    }
    passes[0]?.close();
    harness.offer('other', { ...times, workspace: 'kowhai' });
    harness.offer('served', { ...times, workspace: 'refused' });
    harness.offer('last', { ...times, workspace: 'refused' });
    passes[1]?.close();
    passes[2]?.close();
    await harness.advance(60);
    assert.deepEqual(harness.sentIds.slice(3), ['served', 'other', 'last']);
  });

  // Each late request that found no endpoint used a turn of its workspace.
  it('charges a workspace nothing for requests that find no endpoint', async () => {
    const harness = new GateHarness();
    const [first] = harness.fill();
    harness.room = sampleRoom(1, { openSlots: 0 });
    for (const id of ['late', 'later']) {
      const late = harness.offer(id, { workspace: 'w', objectiveAtMs: -1 });
      await harness.advance(0);
      assert.equal(harness.ends.get(id), 'none');
      late.close();
    }
    harness.room = sampleRoom(1);
    const times = { deadlineAtMs: 60_000, objectiveAtMs: 60_000 };
    harness.offer('own', { ...times, workspace: 'w' });
    harness.offer('other', { ...times, workspace: 'other' });
    first?.close();
    await harness.advance(0);
    assert.equal(harness.sentIds.at(-1), 'own');
  });

  // It waited for places that were held by requests to endpoints that the daemon no longer reached.
  it('lets waiting requests go to peers within 50 ms of when its daemon is cut off, in no place of the group', async () => {
    const harness = new GateHarness();
    const passes = harness.fill();
    const removed = new ForwardError(ForwardErrorKind.UnknownRoute, 'removed');
    const waiting = ['d', 'e'].map(id => harness.offer(id));
    harness.offer('removed', {
      recheck: () => {
        throw removed;
      },
    });
    await harness.advance(60);
    harness.isCutOff = true;
    await harness.advance(60);
    assert.deepEqual(harness.sentIds, ['a', 'b', 'c', 'd', 'e']);
    assert.match(harness.ends.get('removed') ?? '', /^unknownRoute/);
    for (const pass of waiting) pass.close();
    harness.isCutOff = false;
    harness.offer('f');
    await harness.advance(60);
    assert.equal(harness.ends.get('f'), undefined);
    passes[0]?.close();
    await harness.advance(0);
    assert.equal(harness.ends.get('f'), 'sent');
  });

  // One pass over the queue sent all at once, and held up a late event loop.
  it('sends many requests in few of each turn of the event loop, without waiting for its timer', async () => {
    for (const isCutOff of [false, true]) {
      const harness = new GateHarness();
      harness.room = sampleRoom(100, { openSlots: 0 });
      const times = { deadlineAtMs: 60_000, objectiveAtMs: 60_000 };
      for (let index = 0; index < 60; index += 1)
        harness.offer(`r${index}`, times);
      await harness.advance(0);
      harness.room = sampleRoom(100);
      harness.isCutOff = isCutOff;
      await harness.advance(50);
      assert.equal(harness.sentIds.length, 60);
      const steps = harness.sentByPoll.map(
        (sent, index) => sent - (harness.sentByPoll[index - 1] ?? 0),
      );
      assert.ok(Math.max(...steps) <= MAX_PASS_REQUESTS);
    }
  });

  // Its place stayed free until the next timer.
  it('sends the next request as soon as one is refused as it leaves the queue', async () => {
    const harness = new GateHarness();
    const [first] = harness.fill();
    const refused = new ForwardError(ForwardErrorKind.AllowanceSpent, 'spent');
    harness.offer('refused', {
      priority: 0,
      recheck: () => {
        throw refused;
      },
    });
    harness.offer('next');
    await harness.advance(10);
    first?.close();
    await harness.advance(0);
    assert.match(harness.ends.get('refused') ?? '', /^allowanceSpent/);
    assert.equal(harness.sentIds.at(-1), 'next');
  });
});
