import { InFlightAdmission } from '@skylarkreach/core/admission';
import { SingleKeyClaims } from '@skylarkreach/core/claims';
import { MoveBoard } from '@skylarkreach/core/moves';
import type { PipelineParts } from '@skylarkreach/core/pipeline';
import {
  ModelPipeline,
  ServicePipeline,
  TokenDirectory,
} from '@skylarkreach/core/pipeline';
import type { Clock, StateSource } from '@skylarkreach/core/platform';
import { LogPart, SeededRandom } from '@skylarkreach/core/platform';
import { LeastInFlightRouter } from '@skylarkreach/core/routing';
import {
  revisionMethod,
  RevisionSurvey,
  RuleEditor,
  RuleStore,
} from '@skylarkreach/core/rules';

import {
  HttpClient,
  HttpCloud,
  HttpEngine,
  HttpKeyValue,
  HttpService,
} from './adapters/index.js';
import { CallerServer } from './callers/index.js';
import type { Survival } from './hand-off/index.js';
import { createSurvival } from './hand-off/index.js';
import { EndpointPoll, Loop } from './loops/index.js';
import { BoundIdentity, MembershipService } from './membership/index.js';
import { wireMoves } from './moves/index.js';
import { addRuleCalls, OperatorServer } from './operators/index.js';
import { HttpPeer, PeerServer } from './peers/index.js';
import type { Settings } from './settings/index.js';
import { createMetrics, PinoLog } from './telemetry/index.js';

const LISTING_INTERVAL_MS = 1_000;
const LOAD_INTERVAL_MS = 500;

/** Everything that one daemon runs. */
export interface Wiring {
  readonly parts: PipelineParts;
  readonly callers: CallerServer;
  readonly operators: OperatorServer;
  readonly peerServer: PeerServer;
  readonly peer: HttpPeer;
  readonly survival: Survival;
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
  const parts: PipelineParts = {
    clock,
    random,
    rules,
    log,
    metrics,
    tokens: new TokenDirectory(credentials.workspaces),
    admission: new InFlightAdmission(clock),
    router: new LeastInFlightRouter(random),
    claims: new SingleKeyClaims(keyValue, clock, settings.claims.retentionMs),
    engine: new HttpEngine(http),
    service: new HttpService(http),
  };
  const boundIdentity = new BoundIdentity(settings);
  const peerServer = new PeerServer(credentials.peerSecret, metrics, clock);
  const peer = new HttpPeer(http, credentials.peerSecret, clock);
  const membership = new MembershipService(boundIdentity, {
    ...parts,
    cloud,
    keyValue,
    peer,
    registry: peerServer,
  });
  const board = new MoveBoard(identity.daemonId);
  const survival = createSurvival({
    liveDaemons: () => membership.live(),
    versions: board,
    settings,
    clock,
    log,
    cloud,
    peer,
    peerRegistry: peerServer,
  });
  const callers = new CallerServer({
    models: new ModelPipeline(parts, survival.parts),
    directory: parts.tokens,
    resumeTokens: survival.tokens,
    responses: survival.responses,
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
    sources: [...stateSources(parts), membership],
    status: () => ({
      daemonId: identity.daemonId,
      dataCentre: identity.dataCentre,
      ready: state.isReady(),
      ruleRevision: rules.revision,
      endpoints: parts.router.endpoints().length,
      ...membership.status(),
    }),
  });
  peerServer.handle(revisionMethod, () =>
    Promise.resolve({ revision: rules.revision }),
  );
  const liveDaemons = () => [boundIdentity, ...membership.live()];
  addRuleCalls(operators, {
    rules,
    clock,
    editor: new RuleEditor(keyValue, clock),
    survey: new RevisionSurvey(peer, liveDaemons),
    knownNames: () => ({
      workspaces: credentials.workspaces.map(token => token.workspace),
      groups: [...new Set(parts.router.endpoints().map(each => each.group))],
    }),
  });
  const moves = wireMoves({
    board,
    self: boundIdentity,
    clock,
    keyValue,
    peer,
    registry: peerServer,
    operators,
    rules,
    log,
    metrics,
    liveDaemons,
  });
  const poll = new EndpointPoll(cloud, parts.engine, parts.router, clock, log);
  const loops = [
    survival.loop,
    ...membership.loops,
    ...moves.loops,
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
      await Promise.allSettled([membership.prime(), poll.readListing()]);
      await moves.prime();
    },
    membership,
    identity: boundIdentity,
    peerServer,
    peer,
    survival,
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
