import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { InFlightAdmission } from '../admission/index.js';
import { SingleKeyClaims } from '../claims/index.js';
import type { ConnectionPlan } from '../fakes/index.js';
import {
  HEALTHY,
  MemoryKeyValue,
  scriptedAnswer,
  ScriptedEngine,
  StreamFault,
} from '../fakes/index.js';
import type { Endpoint, Service } from '../ports/index.js';
import {
  EndpointKind,
  EndpointStage,
  EngineEventKind,
  ManualClock,
  NotFoundError,
  SeededRandom,
  silentLog,
  silentMetrics,
} from '../ports/index.js';
import { LeastInFlightRouter } from '../routing/index.js';
import { rulesEntry, RuleStore } from '../rules/index.js';
import type { RequestRecord } from '../streams/index.js';
import {
  DEFAULT_STREAM_POLICY,
  ReclaimBoard,
  RecordStore,
} from '../streams/index.js';
import { TokenDirectory } from './identify.js';
import { LiveRuns } from './live-runs.js';
import { ModelPipeline } from './model-pipeline.js';
import type { ModelCall } from './request.js';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';
import { RunEnd, RunEndedError } from './run-end.js';
import type { SurvivalParts } from './survival-parts.js';

const MS_PER_TOKEN = 20;
const RULES = 'kind=* target=model deadline=2m # operations, all questions\n';
/** SHA-256 of "token-1". */
const SHA256 =
  '3f08aace122ee2368432c1ca23a049bc640bafbf00fdf33a52429f38ba12dbf9';

const CALL: ModelCall = {
  requestId: 'request-1',
  bearerToken: 'token-1',
  kind: 'chat',
  deadlineAtMs: 60_000,
  idempotencyKey: undefined,
  messages: [{ role: 'user', content: 'question' }],
  maxTokens: 60,
};
const WHOLE = scriptedAnswer(CALL).join('');

const unusedService: Service = {
  call: () => Promise.reject(new NotFoundError('No service runs here.')),
  outcome: () => Promise.reject(new NotFoundError('No service runs here.')),
};

function endpoint(index: number, dataCentre: string, version = 'v1'): Endpoint {
  return {
    address: `10.0.0.${index}:80`,
    kind: EndpointKind.Model,
    group: 'model',
    version,
    dataCentre,
    instanceId: `instance-${index}`,
    stage: EndpointStage.Ready,
  };
}

const ENDPOINTS = [
  endpoint(1, 'north-1'),
  endpoint(2, 'north-1'),
  endpoint(3, 'north-2'),
];

function endpointAt(address: string): Endpoint {
  const found = ENDPOINTS.find(each => each.address === address);
  assert.ok(found);
  return found;
}

/** One pipeline over scripted engines; the first connections follow `plans`. */
class Bench {
  readonly clock = new ManualClock();
  readonly engine: ScriptedEngine;
  readonly router = new LeastInFlightRouter(new SeededRandom(1));
  readonly reclaims = new ReclaimBoard();
  readonly records = new RecordStore();
  readonly pipeline: ModelPipeline;
  text = '';
  finishes = 0;
  error: unknown;
  done = false;

  constructor(
    plans: readonly ConnectionPlan[] = [],
    endpoints = ENDPOINTS,
    survival: Partial<SurvivalParts> = {},
  ) {
    const left = [...plans];
    this.engine = new ScriptedEngine(
      this.clock,
      MS_PER_TOKEN,
      () => left.shift() ?? HEALTHY,
    );
    this.router.applyListing(endpoints, this.clock.nowMs());
    const rules = new RuleStore();
    rules.apply(rulesEntry(RULES, 1));
    const keyValue = new MemoryKeyValue(this.clock);
    const parts = {
      clock: this.clock,
      random: new SeededRandom(2),
      tokens: new TokenDirectory([{ workspace: 'northside', sha256: SHA256 }]),
      rules,
      admission: new InFlightAdmission(this.clock),
      router: this.router,
      claims: new SingleKeyClaims(keyValue, this.clock, 1_000),
      engine: this.engine,
      service: unusedService,
      log: silentLog,
      metrics: silentMetrics,
    };
    this.pipeline = new ModelPipeline(parts, {
      policy: DEFAULT_STREAM_POLICY,
      reclaims: this.reclaims,
      records: this.records,
      copies: { find: () => Promise.resolve(undefined) },
      versions: { isTakenBack: () => false },
      live: new LiveRuns(),
      ...survival,
    });
  }

  async follow(
    events: ReturnType<ModelPipeline['run']>,
    onChunk: () => void = () => undefined,
  ): Promise<void> {
    try {
      for await (const { event } of events) {
        if (event.kind === EngineEventKind.Chunk) this.text += event.text;
        else this.finishes += 1;
        onChunk();
      }
    } catch (error) {
      this.error = error;
    }
    this.done = true;
  }

  async run(onChunk?: () => void): Promise<void> {
    const { signal } = new AbortController();
    void this.follow(this.pipeline.run(CALL, signal), onChunk);
    await this.clock.advanceTo(60_000);
  }

  /** Announces after two tokens that the data centre in use is reclaimed; returns it. */
  async runThroughReclaim(reclaimAtMs: number): Promise<string> {
    let left = '';
    await this.run(() => {
      if (this.tokens() !== 2) return;
      left = endpointAt(this.addressInUse()).dataCentre;
      const doomed = ENDPOINTS.filter(each => each.dataCentre === left);
      this.reclaims.apply(
        doomed.map(({ instanceId }) => ({ instanceId, reclaimAtMs })),
      );
    });
    return left;
  }

  tokens(): number {
    return this.text.split(' ').length - 1;
  }

  expectWhole(): void {
    assert.equal(this.error, undefined);
    assert.equal(this.text, WHOLE);
    assert.equal(this.finishes, 1);
  }

  addressInUse(): string {
    return this.engine.generateCalls.at(-1)?.address ?? '';
  }
}

describe('the model pipeline', () => {
  const connectionFaults = Object.values(StreamFault).map(fault => ({ fault }));
  for (const { fault } of connectionFaults) {
    it(`gives a whole answer over a connection with fault ${fault}`, async () => {
      const bench = new Bench([{ fault, afterTokens: 10 }]);
      await bench.run();
      bench.expectWhole();
      assert.equal(bench.engine.generateCalls.length, 1);
    });
  }

  it('resumes a silent stream and generates nothing twice', async () => {
    const bench = new Bench([{ fault: StreamFault.Silent, afterTokens: 10 }]);
    await bench.run();
    assert.equal(bench.engine.resumeCalls, 1);
    assert.equal(bench.engine.decodedTokens, 60);
  });

  it('leaves an endpoint all of whose connections are silent', async () => {
    const silent = { fault: StreamFault.Silent, afterTokens: 0 };
    const bench = new Bench([
      { fault: StreamFault.Silent, afterTokens: 10 },
      silent,
      silent,
    ]);
    await bench.run();
    bench.expectWhole();
    assert.equal(bench.engine.generateCalls.length, 2);
    assert.equal(bench.engine.generateCalls[1]?.request.sentTokens, 10);
  });

  it('regenerates after the text sent where the engine is taken without notice', async () => {
    const bench = new Bench();
    await bench.run(() => {
      if (bench.tokens() === 12) bench.engine.gone.add(bench.addressInUse());
    });
    bench.expectWhole();
    const second = bench.engine.generateCalls[1]?.request;
    assert.equal(second?.sentTokens, 12);
    assert.equal(second.sentText, scriptedAnswer(CALL).slice(0, 12).join(''));
  });

  it('moves the cache out of a doomed data centre in time', async () => {
    const bench = new Bench();
    const left = await bench.runThroughReclaim(1_050);
    bench.expectWhole();
    assert.notEqual(endpointAt(bench.addressInUse()).dataCentre, left);
    assert.equal(bench.engine.cacheMoves, 1);
    assert.equal(bench.engine.generateCalls[1]?.request.sentTokens, 2);
  });

  it('regenerates outside the doomed data centre where time is short', async () => {
    const bench = new Bench();
    const left = await bench.runThroughReclaim(100);
    bench.expectWhole();
    assert.notEqual(endpointAt(bench.addressInUse()).dataCentre, left);
    assert.equal(bench.engine.cacheMoves, 0);
  });

  it('stays where the answer ends before the reclaim', async () => {
    const bench = new Bench();
    bench.reclaims.apply([]);
    await bench.run(() => {
      if (bench.tokens() !== 2) return;
      bench.reclaims.apply(
        ENDPOINTS.slice(0, 2).map(({ instanceId }) => ({
          instanceId,
          reclaimAtMs: 5_000,
        })),
      );
    });
    bench.expectWhole();
    assert.equal(bench.engine.generateCalls.length, 1);
  });

  it('keeps to the version that made the text', async () => {
    const bench = new Bench(
      [],
      [
        endpoint(1, 'north-1', 'v1'),
        endpoint(2, 'north-1', 'v2'),
        endpoint(3, 'north-2', 'v1'),
        endpoint(4, 'north-2', 'v2'),
      ],
    );
    await bench.run(() => {
      if (bench.tokens() === 5) bench.engine.gone.add(bench.addressInUse());
    });
    bench.expectWhole();
    const isV1 = bench.engine.generateCalls.map(({ address }) =>
      ['10.0.0.1:80', '10.0.0.3:80'].includes(address),
    );
    assert.equal(isV1.length, 2);
    assert.equal(isV1[0], isV1[1]);
  });

  it('changes the version where it was taken back', async () => {
    const endpoints = [
      endpoint(1, 'north-1', 'v1'),
      endpoint(2, 'north-1', 'v2'),
    ];
    const versions = { isTakenBack: () => true };
    const bench = new Bench([], endpoints, { versions });
    await bench.run(() => {
      if (bench.tokens() === 5) bench.engine.gone.add(bench.addressInUse());
    });
    bench.expectWhole();
    assert.equal(bench.engine.generateCalls.length, 2);
  });

  it('refuses at once where no endpoint takes work', async () => {
    const bench = new Bench([], []);
    void bench.follow(bench.pipeline.run(CALL, new AbortController().signal));
    await bench.clock.advanceTo(0);
    assert.ok(bench.error instanceof RequestError);
    assert.equal(bench.error.outcome, RequestOutcome.NotRun);
    assert.notEqual(bench.error.retryAtMs, undefined);
  });

  it('gives up with Retry-After once no endpoint came back in time', async () => {
    const bench = new Bench([], [endpoint(1, 'north-1')]);
    await bench.run(() => {
      bench.engine.gone.add('10.0.0.1:80');
    });
    assert.ok(bench.error instanceof RequestError);
    assert.equal(bench.error.kind, RequestErrorKind.NoEndpoint);
    assert.equal(bench.error.outcome, RequestOutcome.Unknown);
    assert.notEqual(bench.error.retryAtMs, undefined);
  });

  it('goes on from a record that another daemon handed off', async () => {
    const first = new Bench();
    const caller = new AbortController();
    void first.follow(first.pipeline.run(CALL, caller.signal));
    await first.clock.advanceTo(200);
    caller.abort(new RunEndedError(RunEnd.Left));
    await first.clock.advanceTo(210);
    const name = { workspace: 'northside', requestId: CALL.requestId };
    const record = first.records.find(name, 210);
    assert.equal(record?.tokens, 10);
    assert.equal(first.engine.cancelled.size, 0);
    await expectOutcomeFrom(record);
  });

  it('stops the engine of a cancelled request', async () => {
    const bench = new Bench();
    void bench.follow(bench.pipeline.run(CALL, new AbortController().signal));
    await bench.clock.advanceTo(200);
    const name = { workspace: 'northside', requestId: CALL.requestId };
    assert.equal(bench.pipeline.cancel(name), true);
    await bench.clock.advanceTo(210);
    assert.equal(bench.done, true);
    assert.equal(bench.engine.cancelled.size, 1);
    assert.equal(bench.pipeline.cancel(name), false);
  });
});

/** A daemon that holds only the record, whose engine is gone, gives the whole answer. */
async function expectOutcomeFrom(record: RequestRecord): Promise<void> {
  const second = new Bench();
  second.engine.gone.add(record.address ?? '');
  second.records.put(record, 0);
  const { signal } = new AbortController();
  void second.follow(second.pipeline.outcome(record.work, signal));
  await second.clock.advanceTo(30_000);
  second.expectWhole();
  assert.equal(second.engine.generateCalls[0]?.request.sentTokens, 10);
}
