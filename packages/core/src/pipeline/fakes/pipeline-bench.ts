import assert from 'node:assert/strict';

import { InFlightAdmission } from '../../admission/index.js';
import { SingleKeyClaims } from '../../claims/index.js';
import type { ConnectionPlan } from '../../fakes/index.js';
import {
  HEALTHY,
  MemoryKeyValue,
  scriptedAnswer,
  ScriptedEngine,
} from '../../fakes/index.js';
import type { Endpoint, Service } from '../../ports/index.js';
import {
  EndpointKind,
  EndpointStage,
  EngineEventKind,
  ManualClock,
  NotFoundError,
  SeededRandom,
  silentLog,
  silentMetrics,
} from '../../ports/index.js';
import { LeastInFlightRouter } from '../../routing/index.js';
import { rulesEntry, RuleStore } from '../../rules/index.js';
import {
  DEFAULT_STREAM_POLICY,
  ReclaimNoticeTracker,
  RecordStore,
} from '../../streams/index.js';
import type { ModelCall, SurvivalParts } from '../index.js';
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
export const WHOLE = scriptedAnswer(CALL).join('');

const unusedService: Service = {
  call: () => Promise.reject(new NotFoundError('No service runs here.')),
  outcome: () => Promise.reject(new NotFoundError('No service runs here.')),
};

/** A ready engine of the group `model`. */
export function endpoint(
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
  endpoint(1, 'north-1'),
  endpoint(2, 'north-1'),
  endpoint(3, 'north-2'),
];

export function endpointAt(address: string): Endpoint {
  const found = ENDPOINTS.find(each => each.address === address);
  assert.ok(found);
  return found;
}

/** One pipeline over scripted engines; the first connections follow `plans`. */
export class PipelineBench {
  readonly clock = new ManualClock();
  readonly engine: ScriptedEngine;
  readonly router = new LeastInFlightRouter(new SeededRandom(1));
  readonly reclaims = new ReclaimNoticeTracker();
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
      this.reclaims.replaceNotices(
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
