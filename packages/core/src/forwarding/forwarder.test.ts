import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  ManualClock,
  noopLog,
  noopMetrics,
  SeededRandom,
} from '../ports/index.js';
import { RetryBudget } from '../routing/index.js';
import type { ForwardRoute } from './configuration.js';
import { RouteType } from './configuration.js';
import { ConfigurationStore } from './configuration-store.js';
import { EndpointPool } from './endpoint-pool.js';
import type { ScriptedResponse } from './fakes/index.js';
import {
  PlainProtocol,
  RecordingSink,
  SAMPLE_HOST,
  sampleConfiguration,
  sampleEndpoint,
  sampleRoute,
  ScriptedUpstream,
} from './fakes/index.js';
import { ForwardError, ForwardErrorKind } from './forward-error.js';
import type { RequestMetadata } from './forward-request.js';
import { ANY_VERSION, Forwarder } from './forwarder.js';
import { TokenBucketLedger } from './token-bucket-ledger.js';

const ENDPOINTS = ['e1', 'e2', 'e3'];

/** Harness for the forwarder of one daemon, with scripted endpoints. */
class ForwarderHarness {
  readonly clock = new ManualClock(1_000);
  readonly sink = new RecordingSink();
  readonly callerAbort = new AbortController();
  readonly upstream: ScriptedUpstream;
  readonly usageWorkspaces: string[] = [];
  readonly pool = new EndpointPool(new SeededRandom(1), {
    dataCentre: 'north-1',
    prefillTokensPerMs: 90,
    engineMemoryTokens: () => undefined,
  });
  private readonly forwarder: Forwarder;

  constructor(
    script: readonly ScriptedResponse[],
    private readonly route: ForwardRoute,
    { endpoints = ENDPOINTS, retries = 10 } = {},
  ) {
    this.upstream = new ScriptedUpstream(script);
    const configuration = new ConfigurationStore();
    configuration.apply(sampleConfiguration([route]));
    this.pool.apply({
      revision: 1,
      endpoints: endpoints.map(id => sampleEndpoint(id)),
    });
    const budget = new RetryBudget({
      refillPerFirstAttempt: 0,
      capacity: retries,
      initialBalance: retries,
    });
    this.forwarder = new Forwarder({
      clock: this.clock,
      log: noopLog,
      metrics: noopMetrics,
      protocol: new PlainProtocol(),
      upstream: this.upstream,
      configuration,
      pool: this.pool,
      endpointListAgeMs: () => 0,
      tokenBuckets: new TokenBucketLedger(),
      retryBudgetOf: () => budget,
      versions: {
        choose: () => ANY_VERSION,
        chooseForRetry: () => ANY_VERSION,
        observe: () => ({
          recordEvents: () => undefined,
          end: () => undefined,
        }),
      },
      usageCounter: {
        count: workspace => {
          this.usageWorkspaces.push(workspace);
        },
      },
    });
  }

  /** Serves one request; resolves with the `ForwardError`, if one was thrown. */
  async serve(
    metadata: Partial<RequestMetadata> = {},
  ): Promise<ForwardError | undefined> {
    const served = this.forwarder.handle(
      {
        requestId: 'r1',
        method: 'GET',
        target: `${this.route.pathPrefix}a`,
        headers: ['Request-Id', 'r1'],
        body: undefined,
        metadata: {
          requestId: 'r1',
          host: SAMPLE_HOST,
          apiKey: 'key-1',
          callerTimeoutMs: 5_000,
          usage: undefined,
          promptParts: [],
          lastEventId: undefined,
          ...metadata,
        },
        receivedAtMs: this.clock.nowMs(),
      },
      this.sink,
      this.callerAbort.signal,
    );
    try {
      await served;
      return undefined;
    } catch (error) {
      assert.ok(error instanceof ForwardError);
      return error;
    }
  }
}

const lookupRoute = sampleRoute();
const postingRoute = sampleRoute({
  name: 'postings',
  pathPrefix: '/postings/',
  type: RouteType.NonIdempotent,
  maxAttempts: 3,
});
const draftRoute = sampleRoute({
  name: 'drafts',
  pathPrefix: '/drafts/',
  type: RouteType.Streaming,
  isResumable: true,
  timeoutMs: 8_000,
  latencyObjectiveMs: 800,
});

function eventText(...ids: readonly number[]): string {
  return ids.map(id => `id: ${id}\ndata: x\n\n`).join('');
}

const streamMetadata = { isEventStream: true };

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

  it('cancels the attempt and does not retry when the caller disconnects', async () => {
    const harness = new ForwarderHarness([{ isHanging: true }], lookupRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(1_010);
    harness.callerAbort.abort();
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.abortedCalls, 1);
    assert.equal(harness.upstream.calls.length, 1);
  });

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
