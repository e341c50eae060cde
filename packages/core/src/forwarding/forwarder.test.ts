import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  ManualClock,
  SeededRandom,
  silentLog,
  silentMetrics,
} from '../ports/index.js';
import { RetryBudget } from '../routing/index.js';
import { AllowanceLedger } from './allowance-ledger.js';
import type { ForwardRoute } from './configuration.js';
import { RouteType } from './configuration.js';
import { ConfigurationStore } from './configuration-store.js';
import { EndpointPool } from './endpoint-pool.js';
import type { ScriptedAnswer } from './fakes/index.js';
import {
  PlainProtocol,
  RecordingSink,
  SAMPLE_HOST,
  sampleConfigurationOf,
  sampleEndpoint,
  sampleRoute,
  ScriptedUpstream,
} from './fakes/index.js';
import { ForwardError, ForwardErrorKind } from './forward-error.js';
import type { CallerTraits } from './forward-request.js';
import { ANY_VERSION_RULE, Forwarder } from './forwarder.js';

const ENDPOINTS = ['e1', 'e2', 'e3'];

/** One daemon's forwarder over endpoints that follow a script. */
class Bench {
  readonly clock = new ManualClock(1_000);
  readonly sink = new RecordingSink();
  readonly gone = new AbortController();
  readonly upstream: ScriptedUpstream;
  readonly counted: string[] = [];
  readonly pool = new EndpointPool(new SeededRandom(1), {
    dataCentre: 'north-1',
    prefillTokensPerMs: 90,
    memoryTokensIn: () => undefined,
  });
  private readonly forwarder: Forwarder;

  constructor(
    script: readonly ScriptedAnswer[],
    private readonly route: ForwardRoute,
    { endpoints = ENDPOINTS, repeats = 10 } = {},
  ) {
    this.upstream = new ScriptedUpstream(script);
    const configuration = new ConfigurationStore();
    configuration.apply(sampleConfigurationOf([route]));
    this.pool.apply({
      revision: 1,
      endpoints: endpoints.map(id => sampleEndpoint(id)),
    });
    const budget = new RetryBudget({
      refillPerFirstAttempt: 0,
      capacity: repeats,
      initialBalance: repeats,
    });
    this.forwarder = new Forwarder({
      clock: this.clock,
      log: silentLog,
      metrics: silentMetrics,
      protocol: new PlainProtocol(),
      upstream: this.upstream,
      configuration,
      pool: this.pool,
      allowances: new AllowanceLedger(),
      budgetOf: () => budget,
      versions: {
        choose: () => ANY_VERSION_RULE,
        chooseAgain: () => ANY_VERSION_RULE,
        recordAnswer: () => undefined,
      },
      usage: {
        count: workspace => {
          this.counted.push(workspace);
        },
      },
    });
  }

  /** Serves one request; resolves with the system's own error where there is one. */
  async serve(
    traits: Partial<CallerTraits> = {},
  ): Promise<ForwardError | undefined> {
    const served = this.forwarder.handle(
      {
        requestId: 'r1',
        method: 'GET',
        target: `${this.route.pathPrefix}a`,
        headers: ['Request-Id', 'r1'],
        body: undefined,
        traits: {
          requestId: 'r1',
          host: SAMPLE_HOST,
          apiKey: 'key-1',
          waitsMs: 5_000,
          usage: undefined,
          promptParts: [],
          lastEventId: undefined,
          ...traits,
        },
        receivedAtMs: this.clock.nowMs(),
      },
      this.sink,
      this.gone.signal,
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

const lookups = sampleRoute();
const postings = sampleRoute({
  name: 'postings',
  pathPrefix: '/postings/',
  type: RouteType.NonIdempotent,
  maxAttempts: 3,
});
const drafts = sampleRoute({
  name: 'drafts',
  pathPrefix: '/drafts/',
  type: RouteType.Streaming,
  isResumable: true,
  timeoutMs: 8_000,
  latencyObjectiveMs: 800,
});

function events(...ids: readonly number[]): string {
  return ids.map(id => `id: ${id}\ndata: x\n\n`).join('');
}

const stream = { isEventStream: true };

describe('Forwarder', () => {
  it('hands an answer on and counts it for its workspace', async () => {
    const bench = new Bench([{}], lookups);
    assert.equal(await bench.serve(), undefined);
    assert.equal(bench.sink.status, 200);
    assert.equal(bench.sink.text, 'answer');
    assert.deepEqual(bench.counted, ['kowhai']);
  });

  it('passes the time left on, and no more than the route allows', async () => {
    const bench = new Bench([{}], lookups);
    await bench.serve({ waitsMs: 700 });
    assert.ok(bench.upstream.calls[0]?.headers.includes('700'));
    const bounded = new Bench([{}], lookups);
    await bounded.serve({ waitsMs: undefined });
    assert.ok(bounded.upstream.calls[0]?.headers.includes('1000'));
  });

  it('repeats a look-up at another endpoint after a lost or failed answer', async () => {
    const script = [{ lost: true }, {}];
    const bench = new Bench(script, lookups);
    assert.equal(await bench.serve(), undefined);
    const used = bench.upstream.calls.map(call => call.endpoint.id);
    assert.equal(new Set(used).size, 2);
    const failing = new Bench([{ status: 500 }, {}], lookups);
    assert.equal(await failing.serve(), undefined);
    assert.equal(failing.sink.status, 200);
  });

  it('hands an endpoint’s failure on where no attempt is left', async () => {
    const bench = new Bench([{ status: 500, chunks: ['failed'] }], lookups);
    assert.equal(await bench.serve(), undefined);
    assert.equal(bench.sink.status, 500);
    assert.equal(bench.sink.text, 'failed');
    assert.equal(bench.upstream.calls.length, 2);
  });

  it('does not repeat beyond the budget', async () => {
    const bench = new Bench([{ lost: true }], lookups, { repeats: 0 });
    const error = await bench.serve();
    assert.equal(error?.kind, ForwardErrorKind.EndpointFailed);
    assert.equal(bench.upstream.calls.length, 1);
  });

  it('never repeats a posting that an endpoint may have run', async () => {
    const spoilt: readonly ScriptedAnswer[] = [
      { lost: true },
      { breaks: true },
      { traits: { requestId: 'another' } },
      { traits: { isEncoded: true } },
      { traits: { isSigned: false } },
      { status: 503 },
      { status: 429 },
    ];
    for (const step of spoilt) {
      const bench = new Bench([step], postings);
      const error = await bench.serve();
      assert.equal(error?.httpStatus, 502);
      assert.equal(error.retryInMs, undefined);
      assert.equal(bench.upstream.calls.length, 1);
    }
  });

  it('hands a posting’s failure on and sends it no more', async () => {
    const bench = new Bench([{ status: 500 }], postings);
    assert.equal(await bench.serve(), undefined);
    assert.equal(bench.sink.status, 500);
    assert.equal(bench.upstream.calls.length, 1);
  });

  it('sends a posting elsewhere where the first endpoint has not run it', async () => {
    const refusals: readonly ScriptedAnswer[] = [
      { notSent: true },
      { status: 503, traits: { isNotRun: true } },
      { status: 421, traits: { isMisdirected: true } },
    ];
    for (const step of refusals) {
      const bench = new Bench([step, {}], postings);
      assert.equal(await bench.serve(), undefined);
      assert.equal(bench.sink.status, 200);
      assert.equal(bench.upstream.calls.length, 2);
    }
  });

  it('tells when to come back where no endpoint has run the request', async () => {
    const script = [{ status: 503, traits: { isNotRun: true } }];
    const bench = new Bench(script, postings);
    const error = await bench.serve();
    assert.equal(error?.httpStatus, 503);
    assert.ok((error.retryInMs ?? 0) > 0);
    const empty = new Bench([{}], postings, { endpoints: [] });
    const none = await empty.serve();
    assert.equal(none?.kind, ForwardErrorKind.NoEndpoint);
    assert.ok((none.retryInMs ?? 0) > 0);
  });

  it('leaves an endpoint out after another one answered on its address', async () => {
    const script = [{ status: 421, traits: { isMisdirected: true } }, {}];
    const bench = new Bench(script, postings);
    await bench.serve();
    const wrong = bench.upstream.calls[0]?.endpoint.id;
    const ready = bench.pool.ready('ledger', bench.clock.nowMs());
    assert.ok(ready.every(each => each.id !== wrong));
  });

  it('gives the final answer when the route’s time is over', async () => {
    const bench = new Bench([{ hangs: true }], postings);
    const served = bench.serve();
    await bench.clock.advanceTo(1_999);
    assert.equal(bench.upstream.aborted, 0);
    await bench.clock.advanceTo(2_000);
    const error = await served;
    assert.equal(error?.kind, ForwardErrorKind.TimedOut);
    assert.equal(bench.upstream.aborted, 1);
  });

  it('asks another endpoint where a look-up’s answer takes too long', async () => {
    const bench = new Bench([{ hangs: true }, {}], lookups);
    const served = bench.serve();
    await bench.clock.advanceTo(1_200);
    assert.equal(await served, undefined);
    assert.equal(bench.upstream.calls.length, 2);
  });

  it('cancels at the endpoint when the caller leaves, and tries no more', async () => {
    const bench = new Bench([{ hangs: true }], lookups);
    const served = bench.serve();
    await bench.clock.advanceTo(1_010);
    bench.gone.abort();
    assert.equal(await served, undefined);
    assert.equal(bench.upstream.aborted, 1);
    assert.equal(bench.upstream.calls.length, 1);
  });

  it('joins the runs of a stream without a gap or a repeat', async () => {
    const script: readonly ScriptedAnswer[] = [
      { traits: stream, chunks: [events(1, 2), 'id: 3\nda'], breaks: true },
      { traits: stream, chunks: [events(2, 3), events(4)] },
    ];
    const bench = new Bench(script, drafts);
    assert.equal(await bench.serve(), undefined);
    assert.equal(bench.sink.text, events(1, 2, 3, 4));
    assert.ok(bench.sink.isEnded);
    const [first, second] = bench.upstream.calls;
    assert.ok(second?.headers.includes('2'));
    assert.ok(bench.sink.headers.includes(first?.endpoint.id ?? ''));
    assert.deepEqual(bench.counted, ['kowhai']);
  });

  it('breaks a stream off visibly where it may not go on elsewhere', async () => {
    const script = [{ traits: stream, chunks: [events(1)], breaks: true }];
    const bench = new Bench(script, { ...drafts, isResumable: false });
    assert.equal(await bench.serve(), undefined);
    assert.ok(bench.sink.isDestroyed);
    assert.equal(bench.sink.isEnded, false);
    assert.equal(bench.upstream.calls.length, 1);
  });

  it('does not end a stream as whole within an event', async () => {
    const script = [{ traits: stream, chunks: [`${events(1)}id: 2`] }];
    const bench = new Bench(script, { ...drafts, isResumable: false });
    await bench.serve();
    assert.ok(bench.sink.isDestroyed);
    assert.equal(bench.sink.text, events(1));
  });

  it('goes on elsewhere where a stream falls silent', async () => {
    const script: readonly ScriptedAnswer[] = [
      { traits: stream, chunks: [events(1)], hangs: true },
      { traits: stream, chunks: [events(2)] },
    ];
    const bench = new Bench(script, drafts);
    const served = bench.serve();
    await bench.clock.advanceTo(2_500);
    assert.equal(await served, undefined);
    assert.equal(bench.upstream.aborted, 1);
    assert.equal(bench.sink.text, events(1, 2));
  });

  it('goes on after the event that the caller had before', async () => {
    const script = [{ traits: stream, chunks: [events(4, 5, 6)] }];
    const bench = new Bench(script, drafts);
    await bench.serve({ lastEventId: '5' });
    assert.equal(bench.sink.text, events(6));
    assert.ok(bench.upstream.calls[0]?.headers.includes('5'));
  });
});
