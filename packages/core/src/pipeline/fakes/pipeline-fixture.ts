import assert from 'node:assert/strict';

import { InFlightAdmission } from '../../admission/index.js';
import { SingleKeyClaims } from '../../claims/index.js';
import type { ConnectionPlan } from '../../fakes/index.js';
import {
  HEALTHY_CONNECTION,
  MemoryKeyValue,
  scriptedAnswer,
  ScriptedEngine,
} from '../../fakes/index.js';
import type { Endpoint, ServiceClient } from '../../ports/index.js';
import {
  EndpointKind,
  EndpointStage,
  EngineEventKind,
  ManualClock,
  noopLog,
  noopMetrics,
  NotFoundError,
  SeededRandom,
} from '../../ports/index.js';
import { LeastInFlightRouter } from '../../routing/index.js';
import { createRulesEntry, RuleStore } from '../../rules/index.js';
import {
  DEFAULT_STREAM_POLICY,
  ReclaimNoticeTracker,
  RecordStore,
} from '../../streams/index.js';
import type { FailoverDependencies, ModelCall } from '../index.js';
import { LiveRuns, ModelPipeline, TokenDirectory } from '../index.js';

export const MS_PER_TOKEN = 20;
const RULES = 'kind=* target=model deadline=2m # operations, all questions\n';
/** SHA-256 of "token-1". */
const SHA256 =
  '3f08aace122ee2368432c1ca23a049bc640bafbf00fdf33a52429f38ba12dbf9';

export const CALL: ModelCall = {
  requestId: 'request-1',
  bearerToken: 'token-1',
  kind: 'chat',
  deadlineAtMs: 60_000,
  idempotencyKey: undefined,
  messages: [{ role: 'user', content: 'question' }],
  maxTokens: 60,
};
export const WHOLE_ANSWER = scriptedAnswer(CALL).join('');

const unusedService: ServiceClient = {
  call: () => Promise.reject(new NotFoundError('The fixture has no service.')),
  outcome: () =>
    Promise.reject(new NotFoundError('The fixture has no service.')),
};

/** Creates a ready engine endpoint of the group `model`. */
export function createEndpoint(
  index: number,
  dataCentre: string,
  version = 'v1',
): Endpoint {
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

export const ENDPOINTS = [
  createEndpoint(1, 'north-1'),
  createEndpoint(2, 'north-1'),
  createEndpoint(3, 'north-2'),
];

export function findEndpoint(address: string): Endpoint {
  const endpoint = ENDPOINTS.find(candidate => candidate.address === address);
  assert.ok(endpoint);
  return endpoint;
}

/** Model pipeline over scripted engines. Connections follow `plans` in order; later ones are healthy. */
export class PipelineFixture {
  readonly clock = new ManualClock();
  readonly engine: ScriptedEngine;
  readonly router = new LeastInFlightRouter(new SeededRandom(1));
  readonly reclaims = new ReclaimNoticeTracker();
  readonly records = new RecordStore();
  readonly pipeline: ModelPipeline;
  text = '';
  finishCount = 0;
  error: unknown;
  isDone = false;

  constructor(
    plans: readonly ConnectionPlan[] = [],
    endpoints = ENDPOINTS,
    failover: Partial<FailoverDependencies> = {},
  ) {
    const remainingPlans = [...plans];
    this.engine = new ScriptedEngine(
      this.clock,
      MS_PER_TOKEN,
      () => remainingPlans.shift() ?? HEALTHY_CONNECTION,
    );
    this.router.applyListing(endpoints, this.clock.nowMs());
    const rules = new RuleStore();
    rules.apply(createRulesEntry(RULES, 1));
    const keyValue = new MemoryKeyValue(this.clock);
    const deps = {
      clock: this.clock,
      random: new SeededRandom(2),
      tokens: new TokenDirectory([{ workspace: 'northside', sha256: SHA256 }]),
      rules,
      admission: new InFlightAdmission(this.clock),
      router: this.router,
      claims: new SingleKeyClaims(keyValue, this.clock, 1_000),
      engine: this.engine,
      service: unusedService,
      log: noopLog,
      metrics: noopMetrics,
    };
    this.pipeline = new ModelPipeline(deps, {
      policy: DEFAULT_STREAM_POLICY,
      reclaims: this.reclaims,
      records: this.records,
      peerRecords: { find: () => Promise.resolve(undefined) },
      versionStatus: { isTakenBack: () => false },
      liveRuns: new LiveRuns(),
      ...failover,
    });
  }

  /** Collects the text, the number of finish events and the error of an answer. */
  async collect(
    events: ReturnType<ModelPipeline['run']>,
    onChunk: () => void = () => undefined,
  ): Promise<void> {
    try {
      for await (const { event } of events) {
        if (event.kind === EngineEventKind.Chunk) this.text += event.text;
        else this.finishCount += 1;
        onChunk();
      }
    } catch (error) {
      this.error = error;
    }
    this.isDone = true;
  }

  /** Runs `CALL` and advances the clock to its deadline. */
  async run(onChunk?: () => void): Promise<void> {
    const { signal } = new AbortController();
    void this.collect(this.pipeline.run(CALL, signal), onChunk);
    await this.clock.advanceTo(60_000);
  }

  /** Runs the call and, after two tokens, announces the reclaim of the data centre in use. Returns that data centre. */
  async runWithReclaim(reclaimAtMs: number): Promise<string> {
    let reclaimedDataCentre = '';
    await this.run(() => {
      if (this.tokenCount() !== 2) return;
      reclaimedDataCentre = findEndpoint(this.currentAddress()).dataCentre;
      const reclaimedEndpoints = ENDPOINTS.filter(
        endpoint => endpoint.dataCentre === reclaimedDataCentre,
      );
      this.reclaims.replaceNotices(
        reclaimedEndpoints.map(({ instanceId }) => ({
          instanceId,
          reclaimAtMs,
        })),
      );
    });
    return reclaimedDataCentre;
  }

  tokenCount(): number {
    return this.text.split(' ').length - 1;
  }

  assertWholeAnswer(): void {
    assert.equal(this.error, undefined);
    assert.equal(this.text, WHOLE_ANSWER);
    assert.equal(this.finishCount, 1);
  }

  currentAddress(): string {
    return this.engine.generateCalls.at(-1)?.address ?? '';
  }
}
