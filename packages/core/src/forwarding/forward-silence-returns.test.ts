import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  draftRoute,
  eventText,
  ForwarderHarness,
  streamOf,
} from './fakes/index.js';

const START_MS = 1_000;
const metadata = { isEventStream: true };
const silentStream = streamOf([1], { isHanging: true });

describe('an endpoint that was silent for a moment', () => {
  // A stream waited to its deadline at the second endpoint, while the first one was sound again.
  it('gets a stream back where the next one falls silent for good', async () => {
    const script = [
      silentStream,
      { ...silentStream, chunks: [eventText(2)] },
      { metadata, chunks: [eventText(3)] },
    ];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 2_500);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.ok(harness.sink.isEnded);
    const ids = harness.upstream.calls.map(call => call.endpoint.id);
    assert.equal(ids[2], ids[0]);
    assert.notEqual(ids[1], ids[0]);
    assert.equal(await served, undefined);
  });

  it('gets a stream back where the next one is silent for good before its first event', async () => {
    const script = [
      { metadata, chunks: [], isHanging: true },
      { metadata, chunks: [], isHanging: true },
      { metadata, chunks: [eventText(1)] },
    ];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 3_500);
    assert.equal(harness.sink.text, eventText(1));
    assert.equal(await served, undefined);
  });

  it('is left for another one where the one before has left the list', async () => {
    const script = [
      silentStream,
      { ...silentStream, chunks: [eventText(2)] },
      { metadata, chunks: [eventText(3)] },
    ];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 1_500);
    const [first] = harness.upstream.calls.map(call => call.endpoint.id);
    harness.listEndpoints(['e1', 'e2', 'e3'].filter(id => id !== first));
    await harness.clock.advanceTo(START_MS + 2_500);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.equal(harness.upstream.calls.length, 3);
    assert.equal(await served, undefined);
  });

  it('gets a stream back from a silent one once at most', async () => {
    const slow = { metadata, chunks: [], isHanging: true };
    const script = [silentStream, slow];
    const harness = new ForwarderHarness(script, draftRoute, { retries: 10 });
    const served = harness.serve({ callerTimeoutMs: 8_000 });
    await harness.clock.advanceTo(START_MS + 7_900);
    const ids = harness.upstream.calls.map(call => call.endpoint.id);
    assert.ok(ids.length <= 2 * draftRoute.maxAttempts, `${ids.length}`);
    assert.equal(new Set(ids).size, draftRoute.maxAttempts);
    await harness.clock.advanceTo(START_MS + 8_000);
    assert.equal(await served, undefined);
  });
});
