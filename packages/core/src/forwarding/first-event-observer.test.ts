import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ScriptedResponse } from './fakes/index.js';
import { draftRoute, eventText, ForwarderHarness } from './fakes/index.js';

const metadata = { isEventStream: true };

describe('the first event of a request', () => {
  it('is observed once, with the time of all attempts since the request arrived', async () => {
    const script: readonly ScriptedResponse[] = [
      { isNotSent: true },
      { metadata, chunks: [], silentForMs: 300, lateChunks: [eventText(1)] },
    ];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(harness.clock.nowMs() + 1_000);
    assert.equal(await served, undefined);
    assert.deepEqual(harness.firstEvents, [
      {
        group: 'ledger',
        latencyObjectiveMs: 800,
        elapsedMs: 300,
        dispatchDelayMs: 0,
      },
    ]);
  });

  it('is not observed through a peer, where no endpoint of this daemon is at fault', async () => {
    const peers = new Map([['p1', { metadata, chunks: [eventText(1)] }]]);
    const harness = new ForwarderHarness([], draftRoute, { peers });
    harness.relay.cut();
    assert.equal(await harness.serve(), undefined);
    assert.equal(harness.sink.text, eventText(1));
    assert.deepEqual(harness.firstEvents, []);
  });
});
