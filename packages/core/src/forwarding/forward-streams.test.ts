import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ScriptedResponse } from './fakes/index.js';
import { draftRoute, eventText, ForwarderHarness } from './fakes/index.js';

const START_MS = 1_000;
const DEADLINE_MS = 5_000;
/** Pause before the first further return; each one doubles it, so that four fit into the deadline. */
const PAUSE_MS = 200;
const MAX_PAUSED_RETURNS = 4;
const streamMetadata = { isEventStream: true };

/** A request that fails wherever it runs must cost few attempts, on no more endpoints than its route allows. */
function assertPausedReturns({ upstream }: ForwarderHarness, before: number) {
  const ids = upstream.calls.map(call => call.endpoint.id);
  assert.ok(ids.length <= before + MAX_PAUSED_RETURNS, `${ids.length}`);
  assert.equal(new Set(ids).size, draftRoute.maxAttempts);
}

describe('a stream through the forwarder', () => {
  it('joins the attempts of a stream without lost or duplicate events', async () => {
    const script: readonly ScriptedResponse[] = [
      {
        metadata: streamMetadata,
        chunks: [eventText(1, 2), 'id: 3\nda'],
        isTruncated: true,
      },
      { metadata: streamMetadata, chunks: [eventText(2, 3), eventText(4)] },
    ];
    const harness = new ForwarderHarness(script, draftRoute);
    assert.equal(await harness.serve(), undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3, 4));
    assert.ok(harness.sink.isEnded);
    const [first, second] = harness.upstream.calls;
    assert.ok(second?.headers.includes('2'));
    assert.ok(harness.sink.headers.includes(first?.endpoint.id ?? ''));
    assert.deepEqual(harness.usageWorkspaces, ['kowhai']);
  });

  it('aborts a broken stream that is not resumable', async () => {
    const script = [
      { metadata: streamMetadata, chunks: [eventText(1)], isTruncated: true },
    ];
    const harness = new ForwarderHarness(script, {
      ...draftRoute,
      isResumable: false,
    });
    assert.equal(await harness.serve(), undefined);
    assert.ok(harness.sink.isDestroyed);
    assert.equal(harness.sink.isEnded, false);
    assert.equal(harness.upstream.calls.length, 1);
  });

  it('cuts a stream at its deadline whose endpoints answer with errors, without their text', async () => {
    for (const status of [404, 500]) {
      const script: readonly ScriptedResponse[] = [
        { metadata: streamMetadata, chunks: [eventText(1)], isTruncated: true },
        { status, chunks: ['HTTP/1.1 500 failed'] },
      ];
      const harness = new ForwarderHarness(script, draftRoute);
      const served = harness.serve();
      await harness.clock.advanceTo(START_MS + PAUSE_MS - 1);
      const ids = harness.upstream.calls.map(call => call.endpoint.id);
      assert.deepEqual([ids.length, new Set(ids).size], [3, 2]);
      await harness.clock.advanceTo(START_MS + DEADLINE_MS - 1);
      assert.equal(harness.sink.isDestroyed, false);
      assertPausedReturns(harness, 3);
      await harness.clock.advanceTo(START_MS + DEADLINE_MS);
      assert.equal(await served, undefined);
      assert.equal(harness.sink.text, eventText(1));
      assert.ok(harness.sink.isDestroyed);
      assert.equal(harness.sink.isEnded, false);
    }
  });

  it('goes back to the endpoint that broke off a stream where the next one fails', async () => {
    for (const step of [{ status: 500 }, { isLost: true }]) {
      const script: readonly ScriptedResponse[] = [
        { metadata: streamMetadata, chunks: [eventText(1)], isTruncated: true },
        step,
        { metadata: streamMetadata, chunks: [eventText(2)] },
      ];
      const harness = new ForwarderHarness(script, draftRoute);
      assert.equal(await harness.serve(), undefined);
      assert.equal(harness.sink.text, eventText(1, 2));
      assert.ok(harness.sink.isEnded);
      const [first, , third] = harness.upstream.calls.map(
        call => call.endpoint.id,
      );
      assert.equal(third, first);
    }
  });

  it('goes back once to each endpoint that breaks off a stream, and then after longer and longer pauses', async () => {
    const step = { metadata: streamMetadata, isTruncated: true };
    const script = [1, 2, 3, 4, 5, 6, 7, 8, 9].map(id => ({
      ...step,
      chunks: [eventText(id)],
    }));
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + PAUSE_MS - 1);
    assert.equal(harness.sink.text, eventText(1, 2, 3, 4));
    assert.equal(harness.upstream.calls.length, 4);
    await harness.clock.advanceTo(START_MS + DEADLINE_MS);
    assert.equal(await served, undefined);
    assertPausedReturns(harness, 4);
    assert.ok(harness.sink.isDestroyed);
  });

  it('aborts a stream that ends within an event', async () => {
    const script = [
      { metadata: streamMetadata, chunks: [`${eventText(1)}id: 2`] },
    ];
    const harness = new ForwarderHarness(script, {
      ...draftRoute,
      isResumable: false,
    });
    await harness.serve();
    assert.ok(harness.sink.isDestroyed);
    assert.equal(harness.sink.text, eventText(1));
  });

  it('completes a stream whose end is marked only by its connection while its endpoint is there', async () => {
    const script: readonly ScriptedResponse[] = [
      {
        metadata: streamMetadata,
        chunks: [eventText(1, 2)],
        isCloseDelimited: true,
      },
    ];
    const harness = new ForwarderHarness(script, draftRoute);
    assert.equal(await harness.serve(), undefined);
    assert.equal(harness.upstream.calls.length, 1);
    assert.equal(harness.sink.text, eventText(1, 2));
    assert.ok(harness.sink.isEnded);
  });

  for (const isResumable of [true, false]) {
    // The daemon's own framing said that a stream was complete although its endpoint had crashed.
    it(`does not complete a ${isResumable ? 'resumable' : 'single'} stream with the connection of an endpoint that has crashed`, async () => {
      const script: readonly ScriptedResponse[] = [
        {
          metadata: streamMetadata,
          chunks: [eventText(1)],
          isCloseDelimited: true,
        },
        { metadata: streamMetadata, chunks: [eventText(2)] },
      ];
      const route = { ...draftRoute, isResumable };
      const harness = new ForwarderHarness(script, route);
      harness.upstream.crashesWithCall = 1;
      assert.equal(await harness.serve(), undefined);
      assert.equal(harness.sink.isEnded, isResumable);
      assert.equal(harness.sink.isDestroyed, !isResumable);
      const text = isResumable ? eventText(1, 2) : eventText(1);
      assert.equal(harness.sink.text, text);
    });
  }

  for (const isCrash of [true, false]) {
    it(`${isCrash ? 'does not complete' : 'completes'} a resumed stream that is close-delimited by an endpoint that ${isCrash ? 'has crashed' : 'is there'}`, async () => {
      const script: readonly ScriptedResponse[] = [
        { metadata: streamMetadata, chunks: [eventText(1)], isTruncated: true },
        {
          metadata: streamMetadata,
          chunks: [eventText(2)],
          isCloseDelimited: true,
        },
      ];
      const harness = new ForwarderHarness(script, draftRoute);
      const gone = isCrash ? ['e1', 'e2', 'e3'] : [];
      for (const id of gone) harness.upstream.crashedIds.add(id);
      assert.equal(await harness.serveToDeadline(), undefined);
      assert.equal(harness.sink.text, eventText(1, 2));
      assert.equal(harness.sink.isEnded, !isCrash);
      assert.equal(harness.sink.isDestroyed, isCrash);
    });
  }

  it('retries a close-delimited stream that ends before its first event', async () => {
    const script: readonly ScriptedResponse[] = [
      { metadata: streamMetadata, chunks: [], isCloseDelimited: true },
      { metadata: streamMetadata, chunks: [eventText(1, 2)] },
    ];
    const harness = new ForwarderHarness(script, draftRoute);
    assert.equal(await harness.serve(), undefined);
    assert.equal(harness.sink.text, eventText(1, 2));
    assert.equal(harness.upstream.calls.length, 2);
    assert.ok(harness.sink.isEnded);
  });

  it('resumes a stream at another endpoint when it stalls', async () => {
    const script: readonly ScriptedResponse[] = [
      { metadata: streamMetadata, chunks: [eventText(1)], isHanging: true },
      { metadata: streamMetadata, chunks: [eventText(2)] },
    ];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(2_500);
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.abortedCalls, 1);
    assert.equal(harness.sink.text, eventText(1, 2));
  });

  it('resumes after the last event that the caller already had', async () => {
    const script = [{ metadata: streamMetadata, chunks: [eventText(4, 5, 6)] }];
    const harness = new ForwarderHarness(script, draftRoute);
    await harness.serve({ lastEventId: '5' });
    assert.equal(harness.sink.text, eventText(6));
    assert.ok(harness.upstream.calls[0]?.headers.includes('5'));
  });
});
