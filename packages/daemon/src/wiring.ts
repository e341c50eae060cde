import {
  DEFAULT_FAIR_ADMISSION,
  FairAdmission,
} from '@skylarkreach/core/admission';
import type { JournalClaims } from '@skylarkreach/core/claims';
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
  Cloud,
  DaemonIdentity,
  Engine,
  KeyValue,
  Log,
  Metrics,
  Random,
  StateSource,
} from '@skylarkreach/core/ports';
import { LogPart, SeededRandom } from '@skylarkreach/core/ports';
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
import type { Survival } from './hand-off/index.js';
import { createSurvival } from './hand-off/index.js';
import type { Loop } from './loops/index.js';
import { EndpointPoll, everyInterval } from './loops/index.js';
import {
  BoundIdentity,
  CloudSeedSource,
  MembershipService,
} from './membership/index.js';
import type { MoveWiring } from './moves/index.js';
import { KindRateMeter, wireMoves } from './moves/index.js';
import { addRuleCalls, OperatorServer } from './operators/index.js';
import { HttpPeer, PeerServer } from './peers/index.js';
import type { Settings } from './settings/index.js';
import { createMetrics, PinoLog } from './telemetry/index.js';

const LISTING_INTERVAL_MS = 1_000;
const LOAD_INTERVAL_MS = 500;

/** Everything that one daemon runs. */
export interface Wiring {
  readonly parts: PipelineDependencies;
  readonly callers: CallerServer;
  readonly operators: OperatorServer;
  readonly peerServer: PeerServer;
  readonly survival: Survival;
  readonly claims: JournalClaims;
  readonly http: HttpClient;
  readonly membership: MembershipService;
  /** Identity of this daemon; its addresses are filled in once the servers are bound. */
  readonly identity: BoundIdentity;
  readonly loops: readonly Loop[];
  /** Reads the rules and the platform's list once; a part that cannot be read is left to its loop. */
  readonly prime: () => Promise<void>;
}

/** State of the process that its parts ask for. */
export interface ProcessState {
  readonly isReady: () => boolean;
}

/** What every part of the daemon shares. */
interface Base {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly http: HttpClient;
  readonly keyValue: KeyValue;
  /** The same service, for the rule file and its history. */
  readonly ruleKeyValue: KeyValue;
  readonly cloud: Cloud;
  readonly engine: Engine;
  readonly rules: RuleStore;
  readonly peer: HttpPeer;
  readonly registry: PeerServer;
  readonly identity: BoundIdentity;
}

/** Parts that know of the other daemons. */
interface Cluster {
  readonly membership: MembershipService;
  /** Live daemons, this one included. */
  readonly liveDaemons: () => readonly DaemonIdentity[];
  readonly board: MoveRegistry;
}

/** Builds the parts of a daemon and connects them. */
export function wire(
  settings: Settings,
  clock: Clock,
  seed: number,
  state: ProcessState,
): Wiring {
  const base = createBase(settings, clock, seed);
  const cluster = createCluster(base);
  const claims = createOwnedClaims(base, cluster);
  const rates = new KindRateMeter(clock);
  const parts = createPipelineParts(base, cluster, claims, rates);
  const survival = createSurvival({
    ...base,
    peerRegistry: base.registry,
    liveDaemons: () => cluster.membership.live(),
    versions: cluster.board,
  });
  const operators = createOperators(base, cluster, parts, state);
  const moves = wireMoves({
    ...base,
    ...cluster,
    rates,
    operators,
    self: base.identity,
  });
  operators.addSource(moves.source);
  const fleet = wireFleet(settings, { ...base, router: parts.router });
  for (const source of fleet.sources) operators.addSource(source);
  const poll = createPoll(base, parts);
  return {
    parts,
    operators,
    survival,
    claims,
    callers: createCallers(base, parts, survival, state),
    peerServer: base.registry,
    http: base.http,
    membership: cluster.membership,
    identity: base.identity,
    loops: [
      ...fleet.loops,
      ...createLoops(base, cluster, survival, moves, poll),
    ],
    prime: async () => {
      const first = [cluster.membership.prime(), poll.readListing()];
      await Promise.allSettled(first);
      await moves.prime();
    },
  };
}

function createBase(settings: Settings, clock: Clock, seed: number): Base {
  const { credentials, identity, platform, telemetry } = settings;
  const { cloudAddress, keyValueAddress, token } = platform;
  const metrics = createMetrics(telemetry.statsdAddress, identity.dataCentre);
  const http = new HttpClient(clock);
  const log = new PinoLog(telemetry.logLevel, identity.daemonId);
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
    peer: new HttpPeer(http, credentials.peerSecret, clock),
    registry: new PeerServer(credentials.peerSecret, metrics, clock),
    identity: new BoundIdentity(settings),
  };
}

function createCluster(base: Base): Cluster {
  const { cloud, identity, ruleKeyValue, rules } = base;
  const membership = new MembershipService(identity, {
    ...base,
    seeds: new CloudSeedSource(cloud),
    rules: { keyValue: ruleKeyValue, store: rules },
  });
  return {
    membership,
    liveDaemons: () => [base.identity, ...membership.live()],
    board: new MoveRegistry(base.identity.id),
  };
}

/** Claims whose shards are owned by the live daemons. */
function createOwnedClaims(base: Base, cluster: Cluster): JournalClaims {
  const { identity, peer, registry, settings } = base;
  const peers = {
    peer,
    registry,
    selfAddress: () => identity.peerAddress,
    liveDaemons: () => cluster.liveDaemons().map(each => each.peerAddress),
  };
  return createClaims(settings, { ...base, peers });
}

function createPipelineParts(
  base: Base,
  { board, liveDaemons }: Cluster,
  claims: JournalClaims,
  rates: KindRateMeter,
): PipelineDependencies {
  const { clock, http, random, settings } = base;
  const inner = new ExpectedFinishRouter(random);
  const router = new VersionedRouter(inner, board, {
    onDispatch: (group, kind) => {
      rates.count(group, kind);
    },
    onResult: result => {
      board.recordResult(result);
    },
  });
  return {
    ...base,
    claims,
    tokens: new TokenDirectory(settings.credentials.workspaces),
    admission: new FairAdmission(clock, inner, {
      ...DEFAULT_FAIR_ADMISSION,
      daemonCount: () => liveDaemons().length,
    }),
    router,
    serviceTraits: serviceTraitsOf(settings),
    service: new HttpService(http),
  };
}

function createCallers(
  base: Base,
  parts: PipelineDependencies,
  survival: Survival,
  state: ProcessState,
): CallerServer {
  return new CallerServer({
    models: new ModelPipeline(parts, survival.parts),
    services: new ServicePipeline(parts),
    outcomes: new ServiceOutcomes(parts),
    directory: parts.tokens,
    resumeTokens: survival.tokens,
    responses: survival.responses,
    limits: base.settings.limits,
    isReady: state.isReady,
    clock: base.clock,
    log: base.log,
  });
}

function createOperators(
  base: Base,
  { liveDaemons, membership }: Cluster,
  { router }: PipelineDependencies,
  state: ProcessState,
): OperatorServer {
  const { clock, identity, peer, registry, ruleKeyValue, rules, settings } =
    base;
  const { credentials } = settings;
  const operators = new OperatorServer({
    operators: credentials.operators,
    status: () => ({
      daemonId: identity.id,
      dataCentre: identity.dataCentre,
      ready: state.isReady(),
      ruleRevision: rules.revision,
      endpoints: router.endpoints().length,
      ...membership.status(),
    }),
  });
  operators.addSource(membership);
  operators.addSource(rulesSource(rules));
  operators.addSource({
    name: 'routing',
    dumpState: () => router.endpoints(),
  });
  registry.handle(revisionMethod, () =>
    Promise.resolve({ revision: rules.revision }),
  );
  addRuleCalls(operators, {
    rules,
    clock,
    editor: new RuleEditor(ruleKeyValue, clock),
    survey: new RevisionSurvey(peer, liveDaemons),
    knownNames: () => ({
      workspaces: credentials.workspaces.map(token => token.workspace),
      groups: [...new Set(router.endpoints().map(each => each.group))],
    }),
  });
  return operators;
}

function rulesSource(rules: RuleStore): StateSource {
  return {
    name: 'rules',
    dumpState: () => ({ revision: rules.revision, text: rules.text }),
  };
}

function createPoll(base: Base, parts: PipelineDependencies): EndpointPoll {
  const { clock, cloud, engine, log } = base;
  return new EndpointPoll(cloud, engine, parts.router, clock, log);
}

function createLoops(
  base: Base,
  cluster: Cluster,
  survival: Survival,
  moves: MoveWiring,
  poll: EndpointPoll,
): readonly Loop[] {
  const every = (name: string, intervalMs: number, step: () => Promise<void>) =>
    everyInterval(base, LogPart.Routing, name, intervalMs, step);
  return [
    survival.loop,
    ...cluster.membership.loops,
    ...moves.loops,
    every('listing', LISTING_INTERVAL_MS, () => poll.readListing()),
    every('load', LOAD_INTERVAL_MS, () => poll.readLoads()),
  ];
}
