import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { RouteType } from './configuration.js';
import type { ScriptedResponse } from './fakes/index.js';
import { ForwarderHarness, sampleRoute } from './fakes/index.js';
import { ForwardErrorKind } from './forward-error.js';

const lookupRoute = sampleRoute();
const postingRoute = sampleRoute({
  name: 'postings',
  pathPrefix: '/postings/',
  type: RouteType.NonIdempotent,
  maxAttempts: 3,
});
describe('Forwarder', () => {
  it('forwards a response and counts the request for its workspace', async () => {
    const harness = new ForwarderHarness([{}], lookupRoute);
    assert.equal(await harness.serve(), undefined);
    assert.equal(harness.sink.status, 200);
    assert.equal(harness.sink.text, 'answer');
    assert.deepEqual(harness.usageWorkspaces, ['kowhai']);
  });

  it('passes on the remaining time, bounded by the route’s timeout', async () => {
    const harness = new ForwarderHarness([{}], lookupRoute);
    await harness.serve({ callerTimeoutMs: 700 });
    assert.ok(harness.upstream.calls[0]?.headers.includes('700'));
    const bounded = new ForwarderHarness([{}], lookupRoute);
    await bounded.serve({ callerTimeoutMs: undefined });
    assert.ok(bounded.upstream.calls[0]?.headers.includes('1000'));
  });

  it('does not send a request whose time limit passed before it was read', async () => {
    const harness = new ForwarderHarness([{}], postingRoute);
    const error = await harness.serve({ callerTimeoutMs: 0 });
    assert.equal(harness.upstream.calls.length, 0);
    assert.equal(error?.kind, ForwardErrorKind.TimedOutNotRun);
  });

  it('retries an idempotent request at another endpoint after a lost response or a server error', async () => {
    const script = [{ isLost: true }, {}];
    const harness = new ForwarderHarness(script, lookupRoute);
    assert.equal(await harness.serve(), undefined);
    const used = harness.upstream.calls.map(call => call.endpoint.id);
    assert.equal(new Set(used).size, 2);
    const failing = new ForwarderHarness([{ status: 500 }, {}], lookupRoute);
    assert.equal(await failing.serve(), undefined);
    assert.equal(failing.sink.status, 200);
  });

  it('forwards a server error when no attempt is left', async () => {
    const harness = new ForwarderHarness(
      [{ status: 500, chunks: ['failed'] }],
      lookupRoute,
    );
    assert.equal(await harness.serve(), undefined);
    assert.equal(harness.sink.status, 500);
    assert.equal(harness.sink.text, 'failed');
    assert.equal(harness.upstream.calls.length, 2);
  });

  it('does not retry beyond the retry budget', async () => {
    const harness = new ForwarderHarness([{ isLost: true }], lookupRoute, {
      retries: 0,
    });
    const error = await harness.serve();
    assert.equal(error?.kind, ForwardErrorKind.EndpointFailed);
    assert.equal(harness.upstream.calls.length, 1);
  });

  it('never retries a non-idempotent request that an endpoint may have executed', async () => {
    const invalidResponses: readonly ScriptedResponse[] = [
      { isLost: true },
      { isTruncated: true },
      { metadata: { requestId: 'another' } },
      { metadata: { isEncoded: true } },
      { metadata: { isSigned: false } },
      { status: 503 },
      { status: 429 },
    ];
    for (const step of invalidResponses) {
      const harness = new ForwarderHarness([step], postingRoute);
      const error = await harness.serve();
      assert.equal(error?.httpStatus, 502);
      assert.equal(error.retryInMs, undefined);
      assert.equal(harness.upstream.calls.length, 1);
    }
  });

  it('forwards a server error to a non-idempotent request without a retry', async () => {
    const harness = new ForwarderHarness([{ status: 500 }], postingRoute);
    assert.equal(await harness.serve(), undefined);
    assert.equal(harness.sink.status, 500);
    assert.equal(harness.upstream.calls.length, 1);
  });

  it('retries a non-idempotent request that the first endpoint did not execute', async () => {
    const refusals: readonly ScriptedResponse[] = [
      { isNotSent: true },
      { status: 503, metadata: { isNotRun: true } },
      { status: 421, metadata: { isMisdirected: true } },
    ];
    for (const step of refusals) {
      const harness = new ForwarderHarness([step, {}], postingRoute);
      assert.equal(await harness.serve(), undefined);
      assert.equal(harness.sink.status, 200);
      assert.equal(harness.upstream.calls.length, 2);
    }
  });

  it('gives a retry delay if no endpoint has executed the request', async () => {
    const script = [{ status: 503, metadata: { isNotRun: true } }];
    const harness = new ForwarderHarness(script, postingRoute);
    const error = await harness.serve();
    assert.equal(error?.httpStatus, 503);
    assert.ok((error.retryInMs ?? 0) > 0);
    const empty = new ForwarderHarness([{}], postingRoute, { endpoints: [] });
    const none = await empty.serve();
    assert.equal(none?.kind, ForwardErrorKind.NoEndpoint);
    assert.ok((none.retryInMs ?? 0) > 0);
  });

  it('excludes an endpoint after another one answered on its address', async () => {
    const script = [{ status: 421, metadata: { isMisdirected: true } }, {}];
    const harness = new ForwarderHarness(script, postingRoute);
    await harness.serve();
    const misdirectedId = harness.upstream.calls[0]?.endpoint.id;
    const ready = harness.pool.readyEndpoints('ledger', harness.clock.nowMs());
    assert.ok(ready.every(each => each.id !== misdirectedId));
  });

  it('fails the request when the route’s timeout expires', async () => {
    const harness = new ForwarderHarness([{ isHanging: true }], postingRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(1_999);
    assert.equal(harness.upstream.abortedCalls, 0);
    await harness.clock.advanceTo(2_000);
    const error = await served;
    assert.equal(error?.kind, ForwardErrorKind.TimedOut);
    assert.equal(harness.upstream.abortedCalls, 1);
  });

  it('retries an idempotent request at another endpoint when the response is late', async () => {
    const harness = new ForwarderHarness(
      [{ isHanging: true }, {}],
      lookupRoute,
    );
    const served = harness.serve();
    await harness.clock.advanceTo(1_200);
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls.length, 2);
  });

  it('tells that the chosen endpoint has left while the request waits for a connection', async () => {
    const harness = new ForwarderHarness([{}], lookupRoute);
    await harness.serve();
    const [call] = harness.upstream.calls;
    assert.ok(call);
    assert.equal(call.isEndpointUsable(), true);
    const others = harness.pool
      .endpoints()
      .filter(endpoint => endpoint.id !== call.endpoint.id);
    harness.pool.apply({ revision: 2, endpoints: others });
    assert.equal(call.isEndpointUsable(), false);
  });

  it('cancels the attempt and does not retry when the caller disconnects', async () => {
    const harness = new ForwarderHarness([{ isHanging: true }], lookupRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(1_010);
    harness.callerAbort.abort();
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.abortedCalls, 1);
    assert.equal(harness.upstream.calls.length, 1);
  });
});
