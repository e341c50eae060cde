import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { RouteType } from './configuration.js';
import type { ScriptedResponse } from './fakes/index.js';
import {
  draftRoute,
  eventText,
  ForwarderHarness,
  sampleRoute,
} from './fakes/index.js';

const START_MS = 1_000;
const DEADLINE_MS = 5_000;

const lookupRoute = sampleRoute();

const metadata = { isEventStream: true };

/** Stream that pauses for longer than the gap after which it is continued at another endpoint. */
const pausingStream: ScriptedResponse = {
  metadata,
  chunks: [eventText(1)],
  silentForMs: 2_500,
  lateChunks: [eventText(2, 3)],
};

const silentStream: ScriptedResponse = {
  metadata,
  chunks: [eventText(1)],
  isHanging: true,
};
const refusal: ScriptedResponse = { status: 503, metadata: { isNotRun: true } };

/** How the endpoint that takes over a stream may fail. */
const failures: readonly (readonly [string, ScriptedResponse])[] = [
  ['answers 500', { status: 500 }],
  ['answers 404', { status: 404 }],
  ['loses its answer', { isLost: true }],
  ['breaks off', { metadata, chunks: [eventText(2)], isTruncated: true }],
];

describe('a silent endpoint', () => {
  it('is not abandoned within a stream when the retry budget is spent', async () => {
    const harness = new ForwarderHarness([pausingStream], draftRoute, {
      retries: 0,
    });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 3_000);
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls.length, 1);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.ok(harness.sink.isEnded);
  });

  it('is not abandoned within a stream by the last attempt of the route', async () => {
    const script: readonly ScriptedResponse[] = [
      { metadata, chunks: [eventText(1)], isTruncated: true },
      {
        metadata,
        chunks: [eventText(2)],
        silentForMs: 2_500,
        lateChunks: [eventText(3)],
      },
    ];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 3_000);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.ok(harness.sink.isEnded);
  });

  it('is not abandoned within a stream when no other endpoint is usable', async () => {
    const harness = new ForwarderHarness([pausingStream], draftRoute, {
      endpoints: ['e1'],
    });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 3_000);
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls.length, 1);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
  });

  it('is not abandoned within a stream whose request is blocked meanwhile', async () => {
    const harness = new ForwarderHarness([pausingStream], draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 500);
    harness.crashGuard.blockAll = true;
    await harness.clock.advanceTo(START_MS + 3_000);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
  });

  it('is not abandoned before the first event when the retry budget is spent', async () => {
    const script = [
      { metadata, silentForMs: 2_500, lateChunks: [eventText(1)] },
    ];
    const harness = new ForwarderHarness(
      script.map(step => ({ ...step, chunks: [] })),
      draftRoute,
      { retries: 0 },
    );
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 3_000);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1));
    assert.ok(harness.sink.isEnded);
  });

  it('is not abandoned before a plain response when the retry budget is spent', async () => {
    const harness = new ForwarderHarness([{ silentForMs: 600 }], lookupRoute, {
      retries: 0,
    });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 900);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.status, 200);
  });

  it('is left for an endpoint that becomes usable during the silence', async () => {
    const script: readonly ScriptedResponse[] = [
      silentStream,
      { metadata, chunks: [eventText(2)] },
    ];
    const harness = new ForwarderHarness(script, draftRoute, {
      endpoints: ['e1'],
    });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 2_000);
    harness.listEndpoints(['e1', 'e2']);
    await harness.clock.advanceTo(START_MS + 2_500);
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.abortedCalls, 1);
    assert.deepEqual(
      harness.upstream.calls.map(call => call.endpoint.id),
      ['e1', 'e2'],
    );
    assert.equal(harness.sink.text, eventText(1, 2));
    assert.equal(harness.pool.ownLoad().size, 0);
  });

  it('is not abandoned within an event', async () => {
    const script: readonly ScriptedResponse[] = [
      { ...pausingStream, chunks: ['id: 1\nda'], lateChunks: ['ta: x\n\n'] },
    ];
    const harness = new ForwarderHarness(script, draftRoute, { retries: 0 });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 3_000);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1));
  });

  it('gets a request back that the endpoint which took over refuses', async () => {
    const script: readonly ScriptedResponse[] = [
      silentStream,
      refusal,
      pausingStream,
    ];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 4_000);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    const [first, second, third] = harness.upstream.calls.map(
      call => call.endpoint.id,
    );
    assert.notEqual(second, first);
    assert.equal(third, first);
    assert.equal(harness.upstream.calls.length, 3);
  });

  for (const [failure, step] of failures) {
    it(`gets a stream back when the next endpoint ${failure}`, async () => {
      const script: readonly ScriptedResponse[] = [
        silentStream,
        step,
        pausingStream,
      ];
      const harness = new ForwarderHarness(script, draftRoute);
      const served = harness.serve();
      await harness.clock.advanceTo(START_MS + 4_000);
      assert.equal(await served, undefined);
      assert.equal(harness.sink.text, eventText(1, 2, 3));
      assert.ok(harness.sink.isEnded);
      const [first, second, third] = harness.upstream.calls.map(
        call => call.endpoint.id,
      );
      assert.notEqual(second, first);
      assert.equal(third, first);
      assert.equal(harness.upstream.calls.length, 3);
    });
  }

  it('gets a stream back before an endpoint that broke it off, however busy it is', async () => {
    const broken = { metadata, chunks: [eventText(2)], isTruncated: true };
    const script = [silentStream, broken, pausingStream];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 100);
    const silentId = harness.upstream.calls[0]?.endpoint.id ?? '';
    harness.occupy(silentId, 100);
    await harness.clock.advanceTo(START_MS + 4_000);
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls[2]?.endpoint.id, silentId);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
  });

  it('gets a lookup back when the next endpoint answers 500', async () => {
    const script = [{ isHanging: true }, { status: 500 }, { silentForMs: 300 }];
    const harness = new ForwarderHarness(script, lookupRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 900);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.status, 200);
    assert.equal(harness.upstream.calls.length, 3);
  });

  it('leaves the response of the next endpoint to a lookup that it loses again', async () => {
    const script = [{ isHanging: true }, { status: 500 }, { isLost: true }];
    const harness = new ForwarderHarness(script, lookupRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 900);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.status, 500);
    assert.equal(harness.upstream.calls.length, 3);
  });

  it('does not hold back the response of the next endpoint by being silent again', async () => {
    const script = [{ isHanging: true }, { status: 500 }, { isHanging: true }];
    const harness = new ForwarderHarness(script, lookupRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 2_000);
    assert.equal(harness.sink.status, 500);
    assert.equal(await served, undefined);
  });

  it('is not followed by more endpoints than the route allows where it cannot be reached again', async () => {
    const script = [silentStream, { status: 500 }, { isNotSent: true }, {}];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + DEADLINE_MS);
    const ids = new Set(harness.upstream.calls.map(call => call.endpoint.id));
    assert.equal(ids.size, draftRoute.maxAttempts);
    assert.ok(harness.sink.isDestroyed);
    assert.equal(await served, undefined);
  });

  it('is followed by another endpoint where it cannot be reached again and the one between refused', async () => {
    const script = [silentStream, refusal, { isNotSent: true }, pausingStream];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 4_000);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.ok(harness.sink.isEnded);
    assert.equal(await served, undefined);
  });

  it('gets a request back that it fails only after a pause, and no other one gets it', async () => {
    const script: readonly ScriptedResponse[] = [
      silentStream,
      refusal,
      { status: 500 },
    ];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 1_200 + 199);
    const ids = () => harness.upstream.calls.map(call => call.endpoint.id);
    assert.equal(ids().length, 3);
    assert.equal(ids()[2], ids()[0]);
    await harness.clock.advanceTo(START_MS + DEADLINE_MS);
    assert.equal(await served, undefined);
    assert.ok(ids().length <= 3 + 4, `${ids().length}`);
    assert.deepEqual(new Set(ids().slice(2)), new Set([ids()[0]]));
    assert.ok(harness.sink.isDestroyed);
  });

  it('counts as failed while a request waits for it', async () => {
    const harness = new ForwarderHarness(
      [{ metadata, chunks: [eventText(1)], isHanging: true }],
      draftRoute,
      { endpoints: ['e1'] },
    );
    const served = harness.serve();
    const failureShare = () => {
      const [state] = harness.pool.dumpState(harness.clock.nowMs()) as [
        { readonly failureShare: number },
      ];
      return state.failureShare;
    };
    await harness.clock.advanceTo(START_MS + 1_000);
    assert.equal(failureShare(), 0);
    await harness.clock.advanceTo(START_MS + 2_000);
    assert.ok(failureShare() > 0);
    assert.deepEqual(harness.observedEnds, []);
    await harness.clock.advanceTo(START_MS + 5_000);
    assert.equal(await served, undefined);
    assert.deepEqual(harness.observedEnds, [true]);
  });

  it('gets a request back if no other endpoint can be reached', async () => {
    const endpoints = ['e1', 'e2', 'e3', 'e4', 'e5'];
    const script: readonly ScriptedResponse[] = [silentStream, pausingStream];
    const harness = new ForwarderHarness(script, draftRoute, { endpoints });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 100);
    const first = harness.upstream.calls[0]?.endpoint.id;
    for (const id of endpoints) {
      if (id !== first) harness.upstream.unreachableIds.add(id);
    }
    await harness.clock.advanceTo(START_MS + 4_000);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.equal(harness.upstream.calls.at(-1)?.endpoint.id, first);
  });

  it('is not blamed for a caller that is slow to read', async () => {
    const script = [{ metadata, chunks: [eventText(1), eventText(2)] }];
    const harness = new ForwarderHarness(script, draftRoute);
    harness.sink.drained = harness.clock.waitUntil(START_MS + 3_000);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 3_000);
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls.length, 1);
    assert.equal(harness.sink.text, eventText(1, 2));
    assert.ok(harness.sink.isEnded);
  });

  it('does not end the response to a posting before its deadline', async () => {
    const postingRoute = sampleRoute({
      type: RouteType.NonIdempotent,
      maxAttempts: 3,
    });
    const harness = new ForwarderHarness([{ silentForMs: 900 }], postingRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 950);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.status, 200);
    assert.equal(harness.upstream.calls.length, 1);
  });

  it('does not end a stream that cannot be resumed', async () => {
    const harness = new ForwarderHarness([pausingStream], {
      ...draftRoute,
      isResumable: false,
    });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 3_000);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.equal(harness.upstream.calls.length, 1);
  });
});
