import assert from 'node:assert/strict';

import { Evacuations } from '../../evacuations/index.js';
import {
  ManualClock,
  noopLog,
  noopMetrics,
  SeededRandom,
} from '../../ports/index.js';
import { RetryBudget } from '../../routing/index.js';
import type {
  DispatchGate,
  EndpointRecord,
  ForwardRoute,
  GuardedResponse,
  ObservedFirstEvent,
  OutputEstimator,
  RequestMetadata,
  TokenRate,
} from '../index.js';
import {
  ANY_VERSION,
  ConfigurationStore,
  CrashDetector,
  DataCentreGate,
  EndpointPool,
  Forwarder,
  ForwardError,
  LeavingEndpoints,
  PausedEndpoints,
  ResponseMemory,
  TokenBucketLedger,
  UNGUARDED,
  UNLIMITED,
} from '../index.js';
import { PlainProtocol } from './plain-protocol.js';
import { RecordingCrashGuard } from './recording-crash-guard.js';
import { RecordingSink } from './recording-sink.js';
import { SAMPLE_HOST, sampleConfiguration, sampleEndpoint } from './samples.js';
import { ScriptedRelay } from './scripted-relay.js';
import type { ScriptedResponse } from './scripted-upstream.js';
import { ScriptedUpstream } from './scripted-upstream.js';

const ENDPOINTS = ['e1', 'e2', 'e3'];
const RESPONSE_MEMORY_BYTES = 1_048_576;
const CALLER_TIMEOUT_MS = 5_000;

export interface HarnessOptions {
  readonly endpoints?: readonly string[];
  /** Balance of the retry budget. */
  readonly retries?: number;
  /** Responses of the peers by their ids; there are no peers if absent. */
  readonly peers?: ReadonlyMap<string, ScriptedResponse>;
  /** Gate for which first attempts wait; they do not wait if absent. */
  readonly dispatchGate?: DispatchGate;
  readonly sendsPriority?: boolean;
  /** Rate limit of the caller's workspace. */
  readonly tokenRate?: TokenRate;
  readonly outputEstimator?: OutputEstimator;
}

/** Harness for the forwarder of one daemon, with scripted endpoints. */
export class ForwarderHarness {
  readonly clock = new ManualClock(1_000);
  readonly sink = new RecordingSink();
  readonly callerAbort = new AbortController();
  readonly upstream: ScriptedUpstream;
  readonly crashGuard = new RecordingCrashGuard();
  readonly usageWorkspaces: string[] = [];
  readonly firstEvents: ObservedFirstEvent[] = [];
  /** Whether any endpoint accepts connections of this daemon. */
  reachesEndpoints = true;
  /** Latest deadline of requests that may be sent. */
  latestDeadlineAtMs = Infinity;
  /** Whether each attempt that has ended counts as a failure of its endpoint's version. */
  readonly observedEnds: (boolean | undefined)[] = [];
  /** What responses told the guard of endpoints. */
  readonly guardedResponses: GuardedResponse[] = [];
  readonly configuration = new ConfigurationStore();
  readonly evacuations = new Evacuations();
  readonly tokenBuckets = new TokenBucketLedger();
  /** Ids of the endpoints whose own rate limits have counted a request, in order. */
  readonly limitedIds: string[] = [];
  readonly pool = new EndpointPool(new SeededRandom(1), {
    dataCentre: 'north-1',
    prefillTokensPerMs: 90,
    timeMs: () => this.clock.nowMs(),
    engineMemoryTokens: () => undefined,
    isEvacuated: dataCentre => this.evacuations.isEvacuated(dataCentre),
    limiter: {
      ...UNLIMITED,
      recordDispatch: ({ id }) => {
        this.limitedIds.push(id);
      },
    },
    paused: new PausedEndpoints({
      nowMs: () => this.clock.nowMs(),
      log: noopLog,
      metrics: noopMetrics,
    }),
    leaving: new LeavingEndpoints({
      nowMs: () => 0,
      log: noopLog,
      metrics: noopMetrics,
    }),
    overloadGuard: {
      ...UNGUARDED,
      recordDispatch: () => ({
        recordResponse: response => {
          this.guardedResponses.push(response);
        },
        end: () => undefined,
      }),
    },
  });
  private readonly budget: RetryBudget;
  /** Retries that a first attempt adds to the budget. */
  private budgetRefill = 0;
  readonly relay: ScriptedRelay;
  private readonly forwarder: Forwarder;
  private revision = 0;

  constructor(
    script: readonly ScriptedResponse[],
    private readonly route: ForwardRoute,
    {
      dispatchGate,
      endpoints = ENDPOINTS,
      outputEstimator,
      peers,
      retries = 10,
      sendsPriority = false,
      tokenRate,
    }: HarnessOptions = {},
  ) {
    this.upstream = new ScriptedUpstream(script, this.clock);
    this.configuration.apply(sampleConfiguration([route], {}, tokenRate));
    this.listEndpoints(endpoints);
    const refill = () => this.budgetRefill;
    this.budget = new RetryBudget({
      get refillPerFirstAttempt() {
        return refill();
      },
      capacity: 10,
      initialBalance: retries,
    });
    this.relay = new ScriptedRelay(this.clock, peers ?? new Map());
    this.forwarder = new Forwarder({
      clock: this.clock,
      nextPoll: () => Promise.resolve(),
      log: noopLog,
      metrics: noopMetrics,
      protocol: new PlainProtocol(),
      upstream: this.upstream,
      crashDetector: new CrashDetector({
        clock: this.clock,
        log: noopLog,
        upstream: this.upstream,
        crashGuard: this.crashGuard,
        reachesEndpoints: () => Promise.resolve(this.reachesEndpoints),
      }),
      crashGuard: this.crashGuard,
      configuration: this.configuration,
      pool: this.pool,
      endpointListAgeMs: () => 0,
      tokenBuckets: this.tokenBuckets,
      retryBudgetOf: () => this.budget,
      dataCentres: new DataCentreGate({
        identity: {
          dataCentre: 'north-1',
          regions: { 'north-1': 'north', 'south-1': 'south' },
        },
        evacuations: this.evacuations,
        endpoints: () => this.pool.endpoints(),
      }),
      versions: {
        choose: () => ANY_VERSION,
        chooseForRetry: () => ANY_VERSION,
        observe: () => ({
          recordEvents: () => undefined,
          end: hasFailed => {
            this.observedEnds.push(hasFailed);
          },
        }),
      },
      requestRelay: this.relay,
      dispatchGate,
      sendsPriority: () => sendsPriority,
      responseMemory: new ResponseMemory(
        { clock: this.clock, log: noopLog, metrics: noopMetrics },
        RESPONSE_MEMORY_BYTES,
      ),
      ...(outputEstimator && { outputEstimator }),
      usageCounter: {
        count: workspace => {
          this.usageWorkspaces.push(workspace);
        },
      },
      firstEvents: {
        record: event => {
          this.firstEvents.push(event);
        },
      },
      dispatchWindow: {
        isOpenUntil: deadlineAtMs => deadlineAtMs <= this.latestDeadlineAtMs,
      },
    });
  }

  /** Adds one retry to the budget. */
  refillBudget(): void {
    this.budgetRefill = 1;
    this.budget.recordFirstAttempt();
    this.budgetRefill = 0;
  }

  /** Replaces the endpoints that are listed. */
  listEndpoints(ids: readonly string[]): void {
    this.listRecords(ids.map(id => sampleEndpoint(id)));
  }

  listRecords(endpoints: readonly EndpointRecord[]): void {
    this.revision += 1;
    this.pool.apply({ revision: this.revision, endpoints });
  }

  /** Gives an endpoint requests that do not end. */
  occupy(id: string, requests: number): void {
    const all = this.pool.endpoints().map(endpoint => endpoint.id);
    const excluded = new Set(all.filter(each => each !== id));
    const query = { group: 'ledger', promptParts: [], promptTokens: 0 };
    for (let sent = 0; sent < requests; sent += 1)
      this.pool.reserve({ ...query, excluded }, this.clock.nowMs());
  }

  /** Serves one request up to its deadline; resolves like `serve`. */
  async serveToDeadline(
    metadata: Partial<RequestMetadata> = {},
  ): Promise<ForwardError | undefined> {
    const served = this.serve(metadata);
    await this.clock.advanceTo(this.clock.nowMs() + CALLER_TIMEOUT_MS);
    return await served;
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
          callerTimeoutMs: CALLER_TIMEOUT_MS,
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
