import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ForwardError, ForwardErrorKind } from '../forwarding/index.js';
import { GateHarness, sampleCall, sampleRoom } from './fakes/index.js';

describe('QueueGate', () => {
  it('sends a waiting request as soon as another one ends, without waiting for its timer', async () => {
    const harness = new GateHarness();
    const [first] = harness.fill();
    harness.offer('d');
    await harness.advance(10);
    assert.deepEqual(harness.sentIds, ['a', 'b', 'c']);
    first?.close();
    assert.deepEqual(harness.sentIds, ['a', 'b', 'c', 'd']);
  });

  it('keeps two requests with one id apart', async () => {
    const harness = new GateHarness();
    const [first] = harness.fill();
    harness.offer('same').close();
    harness.offer('same');
    first?.close();
    await harness.advance(0);
    assert.deepEqual(harness.sentIds, ['a', 'b', 'c', 'same']);
    assert.equal(harness.ends.get('same'), 'sent');
  });

  it('sends nothing for a caller that leaves while its request waits', async () => {
    const harness = new GateHarness();
    const [first] = harness.fill();
    const caller = new AbortController();
    harness.offer('gone', {}, caller.signal);
    caller.abort();
    first?.close();
    await harness.advance(200);
    assert.deepEqual(harness.sentIds, ['a', 'b', 'c']);
    assert.equal(harness.ends.get('gone'), 'none');
  });

  it('refuses a request within 50 ms of when it is too late', async () => {
    const harness = new GateHarness();
    harness.fill();
    harness.offer('short', { deadlineAtMs: 400 });
    await harness.advance(390);
    assert.equal(harness.ends.get('short'), undefined);
    await harness.advance(60);
    assert.match(harness.ends.get('short') ?? '', /^overloaded/);
  });

  it('has no timer while nothing waits', async () => {
    const harness = new GateHarness();
    const [first] = harness.fill();
    harness.offer('d');
    await harness.advance(10);
    assert.notEqual(harness.clock.earliestDeadlineMs(), undefined);
    first?.close();
    await harness.advance(60);
    assert.equal(harness.clock.earliestDeadlineMs(), undefined);
  });

  it('refuses all that wait when it stops, and later ones that would wait, to return at once', async () => {
    const harness = new GateHarness();
    const [first] = harness.fill();
    harness.offer('d');
    harness.gate.startStopping();
    harness.offer('e');
    await harness.advance(0);
    const refused = `${ForwardErrorKind.Stopping} 0`;
    assert.equal(harness.ends.get('d'), refused);
    assert.equal(harness.ends.get('e'), refused);
    first?.close();
    harness.offer('f');
    await harness.advance(0);
    assert.equal(harness.sentIds.at(-1), 'f');
  });

  // It waited on at a daemon that was stopping, up to its deadline.
  it('refuses a request at once that finds no endpoint after the stop has begun', async () => {
    const harness = new GateHarness();
    harness.gate.startStopping();
    const pass = harness.gate.open(sampleCall());
    const reserve = () => {
      harness.room = sampleRoom(1, { openSlots: 0 });
      return undefined;
    };
    await assert.rejects(
      pass.reserve(reserve, new AbortController().signal),
      ({ kind }: ForwardError) => kind === ForwardErrorKind.Stopping,
    );
  });

  it('refuses waiting requests that a new configuration no longer admits', async () => {
    const harness = new GateHarness();
    harness.fill();
    const removed = new ForwardError(ForwardErrorKind.UnknownRoute, 'removed');
    harness.offer('kept');
    harness.offer('removed', {
      recheck: () => {
        throw removed;
      },
    });
    await harness.advance(60);
    assert.equal(harness.ends.get('removed'), undefined);
    harness.configurationVersion = 2;
    await harness.advance(60);
    const refused = `${ForwardErrorKind.UnknownRoute} -1`;
    assert.equal(harness.ends.get('removed'), refused);
    assert.equal(harness.ends.get('kept'), undefined);
  });

  // The endpoint that was reserved for it counted the request against its rate limit.
  it('reserves no endpoint for a request whose caller has left before', async () => {
    const harness = new GateHarness();
    harness.offer('left', {}, AbortSignal.abort());
    await harness.advance(0);
    assert.deepEqual(harness.sentIds, []);
    assert.equal(harness.ends.get('left'), 'none');
  });

  it('applies a changed bound to the next request', async () => {
    const harness = new GateHarness();
    harness.fill();
    harness.offer('d');
    harness.maxRequests = 1;
    harness.offer('e', { deadlineAtMs: 5_000 });
    await harness.advance(0);
    assert.match(harness.ends.get('e') ?? '', /^overloaded/);
  });

  it('holds a request until an endpoint may be sent one again', async () => {
    const harness = new GateHarness();
    harness.room = sampleRoom(1, { openSlots: 0 });
    harness.offer('a');
    await harness.advance(200);
    assert.equal(harness.ends.get('a'), undefined);
    harness.room = sampleRoom(1);
    await harness.advance(60);
    assert.equal(harness.ends.get('a'), 'sent');
  });

  // Their places were held for a moment, so that responses counted as short and endpoints' waiting requests as no overload.
  it('learns nothing of the length of responses from requests that get none', async () => {
    for (const openSlots of [0, 16]) {
      const harness = new GateHarness();
      const { gate } = harness;
      const room = sampleRoom(16, { isKnown: true });
      harness.room = room;
      const stream = harness.offer('stream');
      stream.recordResponse(100);
      await harness.advance(3_000);
      stream.close();
      // No endpoint takes them, or the one that does rejects them.
      harness.room = { ...room, openSlots };
      for (let index = 0; index < 60; index += 1)
        harness.offer(`late-${index}`, { objectiveAtMs: 0 }).close();
      harness.room = room;
      const load = { running: 16, waiting: 5, slots: 16 };
      for (let report = 0; report < 40; report += 1) {
        await harness.advance(100);
        gate.recordLoad('engines', load, harness.clock.nowMs());
      }
      const times = { objectiveAtMs: 20_000, deadlineAtMs: 20_000 };
      for (let index = 0; index < 20; index += 1)
        harness.offer(`next-${index}`, times);
      await harness.advance(0);
      const sent = harness.sentIds.filter(id => id.startsWith('next'));
      assert.ok(sent.length < 16);
    }
  });

  // Each of the waiting requests looked at all endpoints for each one that was sent.
  it('looks for an endpoint no further once it finds that none takes a request', async () => {
    const harness = new GateHarness();
    const closed = sampleRoom(40, { openSlots: 0 });
    harness.room = closed;
    for (let index = 0; index < 20; index += 1) harness.offer(`r-${index}`);
    harness.room = sampleRoom(40);
    harness.roomAfterSend = closed;
    await harness.advance(60);
    assert.equal(harness.sentIds.length, 1);
    assert.equal(harness.reserveCalls, 2);
    harness.room = sampleRoom(40);
    await harness.advance(60);
    assert.equal(harness.sentIds.length, 2);
  });

  // The error reached the request that freed the place, and the place was never freed again.
  it('gives an error in the choice of an endpoint to the request that it is chosen for', async () => {
    const harness = new GateHarness();
    const passes = harness.fill();
    const failing = harness.gate.open(sampleCall({ requestId: 'failing' }));
    const failed = assert.rejects(
      failing.reserve(() => {
        throw new Error('no choice');
      }, new AbortController().signal),
      /no choice/,
    );
    harness.offer('next', { deadlineAtMs: 5_000 });
    passes[0]?.close();
    await failed;
    failing.close();
    await harness.advance(60);
    assert.equal(harness.ends.get('next'), 'sent');
  });

  it('refuses what became too late while the process was paused, and sends the rest', async () => {
    const harness = new GateHarness();
    const [first] = harness.fill();
    harness.offer('short', { deadlineAtMs: 900 });
    harness.offer('long', { deadlineAtMs: 60_000 });
    await harness.advance(10);
    // The clock of a paused process jumps.
    await harness.advance(20_000);
    first?.close();
    await harness.advance(0);
    assert.deepEqual(harness.sentIds, ['a', 'b', 'c', 'long']);
  });
});
