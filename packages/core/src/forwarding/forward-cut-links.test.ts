import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { RouteType } from './configuration.js';
import type { ScriptedResponse } from './fakes/index.js';
import { ForwarderHarness, sampleRoute } from './fakes/index.js';
import { ForwardErrorKind } from './forward-error.js';

const draftRoute = sampleRoute({
  type: RouteType.Streaming,
  isResumable: true,
  timeoutMs: 8_000,
  latencyObjectiveMs: 800,
});
const metadata = { isEventStream: true };
const events = [1, 2, 3].map(id => `id: ${id}\ndata: x\n\n`);
const [first = '', second = '', third = ''] = events;
const begun = { metadata, chunks: [first], isTruncated: true };
const lost = { isLost: true };
const rest = { metadata, chunks: [second, third] };

/** Serves a request whose first endpoints refuse connections after they have lost its response. */
async function serveWithCutOff(
  script: readonly ScriptedResponse[],
  cutOffIds: readonly string[],
  route = draftRoute,
) {
  const endpoints = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
  const harness = new ForwarderHarness(script, route, { endpoints });
  for (const id of cutOffIds) harness.upstream.crashedIds.add(id);
  const error = await harness.serveToDeadline();
  return { error, harness };
}

function countEndpoints({ upstream }: ForwarderHarness): number {
  return new Set(upstream.calls.map(call => call.endpoint.id)).size;
}

const ALL = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];

describe('a request whose endpoints are cut off from the daemon one after the other', () => {
  it('goes on at the next endpoint, as attempts at those cut off do not count', async () => {
    const script = [begun, lost, rest];
    const { error, harness } = await serveWithCutOff(script, ALL);
    assert.equal(error, undefined);
    assert.equal(harness.sink.text, events.join(''));
    assert.ok(harness.sink.isEnded);
  });

  it('ends with the attempts of its route where the endpoints still accept connections', async () => {
    const script = [begun, lost, rest];
    const { harness } = await serveWithCutOff(script, []);
    assert.equal(countEndpoints(harness), draftRoute.maxAttempts);
  });

  it('reaches one endpoint more than its route allows, and only after its response has begun', async () => {
    const begins = await serveWithCutOff([begun, lost], ALL);
    assert.equal(countEndpoints(begins.harness), draftRoute.maxAttempts + 1);
    assert.ok(begins.harness.sink.isDestroyed);
    const { error, harness } = await serveWithCutOff([lost], ALL);
    assert.equal(harness.upstream.calls.length, 2);
    assert.equal(error?.kind, ForwardErrorKind.EndpointFailed);
  });

  it('goes no further once it is blocked', async () => {
    const harness = new ForwarderHarness([begun, lost, rest], draftRoute);
    for (const id of ALL) harness.upstream.crashedIds.add(id);
    harness.crashGuard.blockAfterCrashes = 2;
    await harness.serve();
    assert.equal(countEndpoints(harness), 2);
    assert.ok(harness.sink.isDestroyed);
  });

  for (const [found, resetAtMs] of [
    ['as it broke off', 2_400],
    ['on the way back', 2_600],
  ] as const) {
    it(`goes on at a sound endpoint where the one that it left drains and the next one is found to have ended ${found}`, async () => {
      const script: readonly ScriptedResponse[] = [
        { metadata, chunks: [first], isHanging: true },
        { metadata, chunks: [second], silentForMs: 300, isTruncated: true },
        { metadata, chunks: [third] },
      ];
      const endpoints = ['e1', 'e2'];
      const options = { endpoints, retries: 1 };
      const harness = new ForwarderHarness(script, draftRoute, options);
      const served = harness.serve();
      await harness.clock.advanceTo(resetAtMs);
      const ended = harness.upstream.calls[1]?.endpoint.id ?? '';
      harness.upstream.resettingIds.add(ended);
      await harness.clock.advanceTo(2_600);
      harness.listEndpoints([ended, 'e3']);
      harness.refillBudget();
      harness.refillBudget();
      await harness.clock.advanceTo(3_000);
      assert.equal(harness.sink.text, events.join(''));
      assert.ok(harness.sink.isEnded);
      assert.equal(harness.upstream.calls.at(-1)?.endpoint.id, 'e3');
      assert.equal(await served, undefined);
    });
  }

  it('is not repeated where it must not run twice', async () => {
    const route = { ...draftRoute, isResumable: false };
    const { harness } = await serveWithCutOff([begun, rest], ALL, route);
    assert.ok(harness.sink.isDestroyed);
    assert.equal(harness.upstream.calls.length, 1);
  });
});
