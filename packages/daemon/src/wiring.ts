import {
  DEFAULT_FAIR_ADMISSION,
  FairAdmission,
} from '@skylarkreach/core/admission';
import type { JournalClaims } from '@skylarkreach/core/claims';
import { RequestMemory } from '@skylarkreach/core/forwarding';
import { MoveRegistry } from '@skylarkreach/core/moves';
import type { PipelineDependencies } from '@skylarkreach/core/pipeline';
import {
  ModelPipeline,
  ServiceOutcomes,
  ServicePipeline,
  TokenDirectory,
  VersionedRouter,
} from '@skylarkreach/core/pipeline';
import type {
  Clock,
  CloudClient,
  DaemonIdentity,
  EngineClient,
  KeyValueStore,
  Log,
  Metrics,
  Random,
} from '@skylarkreach/core/ports';
import { LogComponent, SeededRandom } from '@skylarkreach/core/ports';
import { ExpectedFinishRouter } from '@skylarkreach/core/routing';
import {
  revisionMethod,
  RevisionSurvey,
  RuleEditor,
  RuleStore,
} from '@skylarkreach/core/rules';

import {
  CompressedKeyValue,
  HttpClient,
  HttpCloud,
  HttpEngine,
  HttpKeyValue,
  HttpService,
} from './adapters/index.js';
import { CallerServer } from './callers/index.js';
import { createClaims, serviceTraitsOf } from './claims/index.js';
import { wireFleet } from './fleet/index.js';
import type { RequestRecovery } from './hand-off/index.js';
import { createRequestRecovery } from './hand-off/index.js';
import type { Loop } from './loops/index.js';
import { createIntervalLoop, EndpointPoller } from './loops/index.js';
import {
  BoundIdentity,
  CloudSeedSource,
  MembershipService,
} from './membership/index.js';
import type { MoveWiring } from './moves/index.js';
import { KindRateMeter, wireMoves } from './moves/index.js';
import {
  addRuleRoutes,
  createRulesStateSource,
  OperatorServer,
} from './operators/index.js';
import { HttpPeer, PeerServer } from './peers/index.js';
import type { Settings } from './settings/index.js';
import { shareMachine } from './settings/index.js';
import {
  createMetrics,
  DEFAULT_LOG_RATE,
  PinoLog,
  RateLimitedLog,
} from './telemetry/index.js';

const LISTING_POLL_INTERVAL_MS = 1_000;
const LOAD_POLL_INTERVAL_MS = 500;

/** Components of a daemon. */
export interface DaemonWiring {
  /** Dependencies of the request pipelines. */
  readonly pipelineDeps: PipelineDependencies;
  readonly callers: CallerServer;
  readonly operators: OperatorServer;
  readonly peerServer: PeerServer;
  readonly survival: RequestRecovery;
  readonly claims: JournalClaims;
  readonly http: HttpClient;
  readonly membership: MembershipService;
  /** Identity of this daemon; its addresses are set once the servers are bound. */
  readonly identity: BoundIdentity;
  readonly loops: readonly Loop[];
  /** Reads the rules, the platform's listing and the moves once. A read that fails is left to its loop, which retries it. */
  readonly loadInitialState: () => Promise<void>;
}

/** State of the process that its components query. */
export interface ProcessState {
  readonly isReady: () => boolean;
}

/** Dependencies that the components of a daemon share. */
interface SharedDependencies {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly http: HttpClient;
  readonly keyValue: KeyValueStore;
  /** The key-value service with compressed values, for the rule file and its history. */
  readonly ruleKeyValue: KeyValueStore;
  readonly cloud: CloudClient;
  readonly engine: EngineClient;
  readonly rules: RuleStore;
  readonly peer: HttpPeer;
  readonly requestMemory: RequestMemory;
  readonly registry: PeerServer;
  readonly identity: BoundIdentity;
}

/** Components that track the other daemons. */
interface Cluster {
  readonly membership: MembershipService;
  /** Live daemons, this one included. */
  readonly liveDaemons: () => readonly DaemonIdentity[];
  readonly board: MoveRegistry;
}

/** Creates the components of a daemon and connects them. */
export function wireDaemon(
  settings: Settings,
  clock: Clock,
  seed: number,
  state: ProcessState,
): DaemonWiring {
  const shared = createSharedDeps(settings, clock, seed);
  const cluster = createCluster(shared);
  const claims = createShardedClaims(shared, cluster);
  const rateMeter = new KindRateMeter(clock);
  const pipelineDeps = createPipelineDeps(shared, cluster, claims, rateMeter);
  const survival = createRequestRecovery({
    ...shared,
    peerRegistry: shared.registry,
    liveDaemons: () => cluster.membership.live(),
    versions: cluster.board,
  });
  const operators = createOperatorServer(shared, cluster, pipelineDeps, state);
  const moves = wireMoves({
    ...shared,
    ...cluster,
    rateMeter,
    operators,
    self: shared.identity,
  });
  operators.addStateSource(moves.stateSource);
  const { router } = pipelineDeps;
  const fleet = wireFleet(settings, { ...shared, router });
  for (const source of fleet.sources) operators.addStateSource(source);
  const { cloud, engine, log } = shared;
  const endpointPoll = new EndpointPoller(cloud, engine, router, clock, log);
  return {
    pipelineDeps,
    operators,
    survival,
    claims,
    callers: createCallerServer(shared, pipelineDeps, survival, state),
    peerServer: shared.registry,
    http: shared.http,
    membership: cluster.membership,
    identity: shared.identity,
    loops: [
      ...fleet.loops,
      ...createLoops(shared, cluster, survival, moves, endpointPoll),
    ],
    loadInitialState: async () => {
      const reads = [
        cluster.membership.loadInitialState(),
        endpointPoll.readListing(),
      ];
      await Promise.allSettled(reads);
      await moves.loadInitialState();
    },
  };
}

function createSharedDeps(
  settings: Settings,
  clock: Clock,
  seed: number,
): SharedDependencies {
  const { credentials, identity, platform, telemetry } = settings;
  const { cloudAddress, keyValueAddress, token } = platform;
  const metrics = createMetrics(telemetry.statsdAddress, identity.dataCentre);
  const http = new HttpClient(clock);
  const output = new PinoLog(telemetry.logLevel, identity.daemonId);
  const log = new RateLimitedLog(output, clock, DEFAULT_LOG_RATE);
  const machine = shareMachine(settings.callers);
  const parts = { clock, log, metrics };
  const peerMemory = new RequestMemory(parts, machine.peerBytes);
  const keyValue = new HttpKeyValue(http, keyValueAddress, token);
  return {
    settings,
    clock,
    metrics,
    http,
    random: new SeededRandom(seed),
    log,
    keyValue,
    ruleKeyValue: new CompressedKeyValue(keyValue, log),
    cloud: new HttpCloud(http, cloudAddress, token),
    engine: new HttpEngine(http),
    rules: new RuleStore(),
    peer: new HttpPeer(http, credentials.peerSecret, clock, metrics),
    requestMemory: new RequestMemory(parts, machine.requestBytes),
    registry: new PeerServer(
      credentials.peerSecret,
      metrics,
      clock,
      peerMemory,
    ),
    identity: new BoundIdentity(settings),
  };
}

function createCluster(shared: SharedDependencies): Cluster {
  const { cloud, identity, ruleKeyValue, rules } = shared;
  const membership = new MembershipService(identity, {
    ...shared,
    seeds: new CloudSeedSource(cloud),
    rules: { keyValue: ruleKeyValue, store: rules },
  });
  return {
    membership,
    liveDaemons: () => [shared.identity, ...membership.live()],
    board: new MoveRegistry(shared.identity.id),
  };
}

/** Creates the claims, whose shards are distributed over the live daemons. */
function createShardedClaims(
  shared: SharedDependencies,
  cluster: Cluster,
): JournalClaims {
  const { identity, peer, registry, settings } = shared;
  const peers = {
    peer,
    registry,
    selfAddress: () => identity.peerAddress,
    liveDaemons: () => cluster.liveDaemons().map(daemon => daemon.peerAddress),
  };
  return createClaims(settings, { ...shared, peers });
}

function createPipelineDeps(
  shared: SharedDependencies,
  { board, liveDaemons }: Cluster,
  claims: JournalClaims,
  rateMeter: KindRateMeter,
): PipelineDependencies {
  const { clock, http, random, settings } = shared;
  const expectedFinishRouter = new ExpectedFinishRouter(random);
  const router = new VersionedRouter(expectedFinishRouter, board, {
    onDispatch: (group, kind) => {
      rateMeter.recordRequest(group, kind);
    },
    onResult: result => {
      board.recordResult(result);
    },
  });
  return {
    ...shared,
    claims,
    tokens: new TokenDirectory(settings.credentials.workspaces),
    admission: new FairAdmission(clock, expectedFinishRouter, {
      ...DEFAULT_FAIR_ADMISSION,
      daemonCount: () => liveDaemons().length,
    }),
    router,
    serviceTraits: serviceTraitsOf(settings),
    service: new HttpService(http),
  };
}

function createCallerServer(
  shared: SharedDependencies,
  pipelineDeps: PipelineDependencies,
  survival: RequestRecovery,
  state: ProcessState,
): CallerServer {
  return new CallerServer({
    models: new ModelPipeline(pipelineDeps, survival.pipelineDependencies),
    services: new ServicePipeline(pipelineDeps),
    outcomes: new ServiceOutcomes(pipelineDeps),
    directory: pipelineDeps.tokens,
    resumeTokens: survival.resumeTokens,
    responses: survival.responses,
    limits: shared.settings.limits,
    requestMemory: shared.requestMemory,
    isReady: state.isReady,
    clock: shared.clock,
    log: shared.log,
  });
}

function createOperatorServer(
  shared: SharedDependencies,
  { liveDaemons, membership }: Cluster,
  { router }: PipelineDependencies,
  state: ProcessState,
): OperatorServer {
  const { clock, identity, peer, registry, ruleKeyValue, rules, settings } =
    shared;
  const { credentials } = settings;
  const operators = new OperatorServer({
    operators: credentials.operators,
    requestMemory: shared.requestMemory,
    status: () => ({
      daemonId: identity.id,
      dataCentre: identity.dataCentre,
      ready: state.isReady(),
      ruleRevision: rules.revision,
      endpoints: router.endpoints().length,
      ...membership.status(),
    }),
  });
  operators.addStateSource(membership);
  operators.addStateSource(createRulesStateSource(rules));
  operators.addStateSource({
    name: 'routing',
    dumpState: () => router.endpoints(),
  });
  registry.handle(revisionMethod, () =>
    Promise.resolve({ revision: rules.revision }),
  );
  addRuleRoutes(operators, {
    rules,
    clock,
    editor: new RuleEditor(ruleKeyValue, clock),
    survey: new RevisionSurvey(peer, liveDaemons),
    knownNames: () => ({
      workspaces: credentials.workspaces.map(token => token.workspace),
      groups: [...new Set(router.endpoints().map(endpoint => endpoint.group))],
    }),
  });
  return operators;
}

function createLoops(
  shared: SharedDependencies,
  cluster: Cluster,
  survival: RequestRecovery,
  moves: MoveWiring,
  endpointPoll: EndpointPoller,
): readonly Loop[] {
  const loop = (name: string, intervalMs: number, step: () => Promise<void>) =>
    createIntervalLoop(shared, LogComponent.Routing, name, intervalMs, step);
  return [
    survival.reclaimNoticeLoop,
    ...cluster.membership.loops,
    ...moves.loops,
    loop('listing', LISTING_POLL_INTERVAL_MS, () => endpointPoll.readListing()),
    loop('load', LOAD_POLL_INTERVAL_MS, () => endpointPoll.readLoads()),
  ];
}
