import { FairAdmission } from '@skylarkreach/core/admission';
import { SingleKeyClaims } from '@skylarkreach/core/claims';
import type { PipelineParts } from '@skylarkreach/core/pipeline';
import {
  ModelPipeline,
  ServicePipeline,
  TokenDirectory,
} from '@skylarkreach/core/pipeline';
import type { Clock, StateSource } from '@skylarkreach/core/platform';
import { LogPart, SeededRandom } from '@skylarkreach/core/platform';
import { ExpectedFinishRouter } from '@skylarkreach/core/routing';
import { RuleStore } from '@skylarkreach/core/rules';

import {
  HttpClient,
  HttpCloud,
  HttpEngine,
  HttpKeyValue,
  HttpService,
} from './adapters/index.js';
import { CallerServer } from './callers/index.js';
import { EndpointPoll, Loop, RuleWatch } from './loops/index.js';
import {
  addMoveCalls,
  addRuleCalls,
  OperatorServer,
} from './operators/index.js';
import { HttpPeer, PeerServer } from './peers/index.js';
import type { Settings } from './settings/index.js';
import { createMetrics, PinoLog } from './telemetry/index.js';

const LISTING_INTERVAL_MS = 1_000;
const LOAD_INTERVAL_MS = 500;
const WATCH_RETRY_MS = 250;

/** Everything that one daemon runs. */
export interface Wiring {
  readonly parts: PipelineParts;
  readonly callers: CallerServer;
  readonly operators: OperatorServer;
  readonly peerServer: PeerServer;
  readonly peer: HttpPeer;
  readonly http: HttpClient;
  readonly loops: readonly Loop[];
  /** Reads the rules and the platform's list once; a part that cannot be read is left to its loop. */
  readonly prime: () => Promise<void>;
}

/** State of the process that its parts ask for. */
export interface ProcessState {
  readonly isReady: () => boolean;
}

/** Builds the parts of a daemon and connects them. */
export function wire(
  settings: Settings,
  clock: Clock,
  seed: number,
  state: ProcessState,
): Wiring {
  const { credentials, identity, platform, telemetry } = settings;
  const log = new PinoLog(telemetry.logLevel, identity.daemonId);
  const metrics = createMetrics(telemetry.statsdAddress, identity.dataCentre);
  const http = new HttpClient(clock);
  const keyValue = new HttpKeyValue(
    http,
    platform.keyValueAddress,
    platform.token,
  );
  const cloud = new HttpCloud(http, platform.cloudAddress, platform.token);
  const random = new SeededRandom(seed);
  const rules = new RuleStore();
  const router = new ExpectedFinishRouter(random);
  const admission = new FairAdmission(clock, router);
  const parts: PipelineParts = {
    clock,
    random,
    rules,
    log,
    metrics,
    tokens: new TokenDirectory(credentials.workspaces),
    admission,
    router,
    claims: new SingleKeyClaims(keyValue, clock, settings.claims.retentionMs),
    engine: new HttpEngine(http),
    service: new HttpService(http),
  };
  const callers = new CallerServer({
    models: new ModelPipeline(parts),
    services: new ServicePipeline(parts),
    limits: settings.limits,
    isReady: state.isReady,
    clock,
    log,
  });
  const operators = new OperatorServer({
    clock,
    keyValue,
    operators: credentials.operators,
    sources: [
      ...stateSources(parts),
      { name: 'admission', dumpState: () => admission.dumpState() },
    ],
    status: () => ({
      daemonId: identity.daemonId,
      dataCentre: identity.dataCentre,
      ready: state.isReady(),
      ruleRevision: rules.revision,
      endpoints: parts.router.endpoints().length,
    }),
  });
  addRuleCalls(operators, rules, keyValue, clock);
  addMoveCalls(operators, keyValue, clock);
  const watch = new RuleWatch(keyValue, rules, clock);
  const poll = new EndpointPoll(cloud, parts.engine, parts.router, clock, log);
  const loops = [
    new Loop(
      {
        name: 'rule watch',
        part: LogPart.Rules,
        nextAtMs: nowMs => nowMs + WATCH_RETRY_MS,
        step: () => watch.step(),
      },
      clock,
      log,
    ),
    new Loop(
      {
        name: 'listing',
        part: LogPart.Routing,
        nextAtMs: nowMs => nowMs + LISTING_INTERVAL_MS,
        step: () => poll.readListing(),
      },
      clock,
      log,
    ),
    new Loop(
      {
        name: 'load',
        part: LogPart.Routing,
        nextAtMs: nowMs => nowMs + LOAD_INTERVAL_MS,
        step: () => poll.readLoads(),
      },
      clock,
      log,
    ),
  ];
  return {
    parts,
    callers,
    operators,
    loops,
    http,
    prime: async () => {
      await Promise.allSettled([watch.readNow(), poll.readListing()]);
    },
    peerServer: new PeerServer(credentials.peerSecret, metrics),
    peer: new HttpPeer(http, credentials.peerSecret),
  };
}

function stateSources(parts: PipelineParts): readonly StateSource[] {
  return [
    {
      name: 'rules',
      dumpState: () => ({
        revision: parts.rules.revision,
        text: parts.rules.text,
      }),
    },
    { name: 'routing', dumpState: () => parts.router.endpoints() },
  ];
}
