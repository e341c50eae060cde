import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ScriptedResponse } from './fakes/index.js';
import {
  draftRoute,
  eventText,
  ForwarderHarness,
  sampleRoute,
} from './fakes/index.js';
import { ForwardErrorKind } from './forward-error.js';

const START_MS = 1_000;
const DEADLINE_MS = 5_000;

const metadata = { isEventStream: true };
const silent: ScriptedResponse = {
  metadata,
  chunks: [eventText(1)],
  isHanging: true,
};
const broken: ScriptedResponse = {
  metadata,
  chunks: [eventText(1)],
  isTruncated: true,
};
const unsent: ScriptedResponse = { isNotSent: true };
const refusal: ScriptedResponse = { status: 503, metadata: { isNotRun: true } };
const rest: ScriptedResponse = { metadata, chunks: [eventText(2, 3)] };

/** Ways in which the first peer may fail a stream. */
const peerFailures: readonly (readonly [string, ScriptedResponse])[] = [
  ['sends it to no endpoint', unsent],
  ['passes on a refusal', refusal],
  ['passes on a 500', { status: 500 }],
  ['breaks off', { metadata, chunks: [eventText(2)], isTruncated: true }],
  ['is silent', { metadata, chunks: [eventText(2)], isHanging: true }],
];

describe('a stream that began before its daemon was cut off', () => {
  for (const [failure, step] of peerFailures) {
    it(`goes on through a second peer where the first one ${failure}`, async () => {
      const peers = new Map([
        ['p1', step],
        ['p2', rest],
      ]);
      const harness = new ForwarderHarness([silent], draftRoute, { peers });
      const served = harness.serve();
      await harness.clock.advanceTo(START_MS + 100);
      harness.relay.cut();
      await harness.clock.advanceTo(START_MS + 2_000);
      assert.equal(harness.sink.text, eventText(1, 2, 3));
      assert.ok(harness.sink.isEnded);
      assert.equal(harness.upstream.calls.length, 1);
      assert.equal(await served, undefined);
    });
  }

  it('goes on through a peer where an attempt before the cut had failed', async () => {
    const peers = new Map([['p1', { metadata, chunks: [eventText(3)] }]]);
    const script = [broken, { ...silent, chunks: [eventText(2)] }];
    const harness = new ForwarderHarness(script, draftRoute, { peers });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 100);
    harness.relay.cut();
    await harness.clock.advanceTo(START_MS + 1_000);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.ok(harness.sink.isEnded);
    assert.deepEqual(harness.relay.sent, [{ peer: 'p1', lastEventId: '2' }]);
    assert.equal(await served, undefined);
  });

  it('goes on by itself once its links are back where no peer could take it', async () => {
    for (const step of [unsent, refusal]) {
      const peers = new Map([['p1', step]]);
      const script = [silent, rest];
      const harness = new ForwarderHarness(script, draftRoute, { peers });
      const served = harness.serve();
      await harness.clock.advanceTo(START_MS + 100);
      harness.relay.cut();
      await harness.clock.advanceTo(START_MS + 1_000);
      assert.equal(harness.upstream.calls.length, 1);
      harness.relay.restore();
      await harness.clock.advanceTo(START_MS + 2_000);
      assert.equal(harness.sink.text, eventText(1, 2, 3));
      assert.ok(harness.sink.isEnded);
      assert.equal(await served, undefined);
    }
  });

  // No endpoint behind a peer could get a stream back, so that it was cut.
  it('goes on by itself once its links are back where its peers have failed it', async () => {
    const step = { metadata, chunks: [eventText(1)], isTruncated: true };
    const peers = new Map(['p1', 'p2'].map(id => [id, step]));
    const script = [silent, rest];
    const harness = new ForwarderHarness(script, draftRoute, { peers });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 100);
    harness.relay.cut();
    await harness.clock.advanceTo(START_MS + 1_000);
    assert.equal(harness.relay.sent.length, draftRoute.maxAttempts);
    harness.relay.restore();
    await harness.clock.advanceTo(START_MS + 1_500);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.ok(harness.sink.isEnded);
    assert.equal(await served, undefined);
  });

  it('runs on no more endpoints behind peers than the route allows', async () => {
    const step = { metadata, chunks: [eventText(1)], isTruncated: true };
    const peers = new Map(['p1', 'p2', 'p3', 'p4'].map(id => [id, step]));
    const harness = new ForwarderHarness([silent], draftRoute, { peers });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 100);
    harness.relay.cut();
    await harness.clock.advanceTo(START_MS + DEADLINE_MS);
    assert.equal(harness.relay.sent.length, draftRoute.maxAttempts);
    assert.ok(harness.sink.isDestroyed);
    assert.equal(await served, undefined);
  });
});

describe('a request of a daemon that is cut off', () => {
  it('is answered at its deadline where every peer is silent', async () => {
    const peers = new Map(['p1', 'p2'].map(id => [id, { isHanging: true }]));
    const harness = new ForwarderHarness([{}], sampleRoute(), { peers });
    harness.relay.cut();
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 1_000);
    assert.equal((await served)?.kind, ForwardErrorKind.TimedOut);
  });
});
