import { BrittleEndpoints } from '@skylarkreach/core/brittle-endpoints';
import { EndpointLimits } from '@skylarkreach/core/endpoint-limits';
import {
  ConfigurationStore,
  CrashDetector,
  EndpointPool,
  Forwarder,
  LeavingEndpoints,
  PausedEndpoints,
  RequestMemory,
  ResponseMemory,
  routeNamesFor,
  TokenBucketLedger,
} from '@skylarkreach/core/forwarding';
import { KnownDaemons } from '@skylarkreach/core/membership';
import type { Clock } from '@skylarkreach/core/ports';
import { LogComponent, SeededRandom } from '@skylarkreach/core/ports';
import { RequestQuarantine } from '@skylarkreach/core/quarantine';
import {
  EndpointReachability,
  ObservedUpstream,
  RelayPeers,
} from '@skylarkreach/core/reachability';
import { RolloutRegistry } from '@skylarkreach/core/rollouts';
import {
  DutyClient,
  PlatformProtocol,
  StoreClient,
  StoreEndpointSource,
  StoreOperatorSource,
  StoreRolloutStatus,
} from '@skylarkreach/platform';

import { HttpClient } from '../adapters/index.js';
import { nextPoll } from '../http/index.js';
import type { Loop } from '../loops/index.js';
import { createIntervalLoop, createPollerLoop } from '../loops/index.js';
import { MessageSigner } from '../peers/index.js';
import type { GatewaySettings } from '../settings/index.js';
import { shareMachine } from '../settings/index.js';
import {
  createNonBlockingOutput,
  DEFAULT_LOG_RATE,
  PinoLog,
  PromMetrics,
  RateLimitedLog,
} from '../telemetry/index.js';
import { createMonitor } from './dependency-monitor.js';
import type { EndpointConnector } from './endpoint-client.js';
import { EndpointClient } from './endpoint-client.js';
import { EndpointListPoller } from './endpoint-list-poller.js';
import { GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';
import { GatewayDuties } from './gateway-duties.js';
import { GatewayHints } from './gateway-hints.js';
import { IngressServer } from './ingress-server.js';
import { OperatorWatch } from './operator-watch.js';
import { RelayClient } from './relay-client.js';
import { RelayServer } from './relay-server.js';
import { DEFAULT_LIMITS } from './request-reader.js';
import { RetryBudgets } from './retry-budgets.js';
import { StateReplicator } from './state-replicator.js';
import { StopSchedule } from './stop-schedule.js';

/** Interval between reads of the endpoint list, as a fraction of the drain bound. */
const LISTING_INTERVAL_SHARE = 0.4; // a second read fits within the bound if one fails
/** Age of the endpoint list from which a daemon that is no reader reads it, as a fraction of the drain bound. */
const LISTING_FOLLOWED_SHARE = 0.6; // with the jitter, a read still fits within the bound
/** Age of the operators' state from which a daemon that is no reader reads it, as a fraction of the bound on its application. */
const CONFIGURATION_FOLLOWED_SHARE = 0.7; // a read still fits within the bound
/** Interval between checks of whether endpoints are to be probed. */
const REACHABILITY_INTERVAL_MS = 200;

/** Components of a gateway daemon. */
export interface GatewayWiring extends GatewayContext {
  readonly configuration: ConfigurationStore;
  readonly pool: EndpointPool;
  readonly ingress: IngressServer;
  readonly stopSchedule: StopSchedule;
  readonly endpointClient: EndpointClient;
  /** Connections to peers for requests that are passed on. */
  readonly peerConnections: EndpointClient;
  readonly relayServer: RelayServer;
  readonly cluster: GatewayCluster;
  readonly duties: GatewayDuties;
  readonly loops: readonly Loop[];
}

/** Creates the components of a gateway daemon and connects them. */
export function wireGateway(
  settings: GatewaySettings,
  clock: Clock,
  seed: number,
  connectEndpoint?: EndpointConnector,
): GatewayWiring {
  const context = createContext(settings, clock, seed);
  const { log, platform } = context;
  const configuration = new ConfigurationStore();
  const knownDaemons = new KnownDaemons({
    ownId: settings.identity.daemonId,
    nowMs: () => clock.nowMs(),
    livePeers: () => cluster.membership.live(),
  });
  const sharing = {
    ...context,
    ownId: settings.identity.daemonId,
    nowMs: () => clock.nowMs(),
    daemons: knownDaemons,
  };
  const endpointLimits = new EndpointLimits(sharing);
  const brittleEndpoints = new BrittleEndpoints(sharing);
  const leavingEndpoints = new LeavingEndpoints(sharing);
  const pool = new EndpointPool(context.random, {
    dataCentre: settings.identity.dataCentre,
    prefillTokensPerMs: settings.routing.prefillTokensPerMs,
    timeMs: () => duties.trueTime.nowMs(),
    engineMemoryTokens: group =>
      configuration.current?.groups.find(candidate => candidate.name === group)
        ?.engine?.cacheTokens,
    limiter: endpointLimits,
    overloadGuard: brittleEndpoints,
    leaving: leavingEndpoints,
    paused: new PausedEndpoints(sharing),
  });
  const tokenBuckets = new TokenBucketLedger({
    tolerance: {
      rateShare: settings.bounds.allowanceRateShare,
      tokens: settings.bounds.allowanceTokens,
    },
    startedAtMs: clock.nowMs(),
    isFirstStart: settings.identity.isFirstStart,
    rateOf: workspace => configuration.findWorkspace(workspace)?.tokenRate,
  });
  const endpointClient = new EndpointClient(platform.protocol, connectEndpoint);
  const reachability = new EndpointReachability({
    ...context,
    nowMs: () => clock.nowMs(),
    probe: endpointClient,
    endpoints: () => pool.endpoints(),
  });
  const { exposureShare, exposureSlack } = settings.bounds;
  const rollouts = new RolloutRegistry({
    log,
    nowMs: () => clock.nowMs(),
    optionsFor: group => ({
      exposureShare,
      exposureSlack,
      daemons: () => cluster.size,
      routes: routeNamesFor(configuration.current, group),
    }),
  });
  const quarantine = new RequestQuarantine({
    ...context,
    nowMs: () => clock.nowMs(),
  });
  const duties: GatewayDuties = new GatewayDuties(context, {
    configuration,
    pool,
    rollouts,
    cluster: () => cluster,
  });
  const hints = new GatewayHints(context, {
    pool,
    tokenBuckets,
    rollouts,
    quarantine,
    endpointLimits,
    brittleEndpoints,
    leavingEndpoints,
    reachability,
    duties,
    cluster: () => cluster,
    endpointsVersion: () => replicator.endpointsVersion,
    endpointReadAtMs: () => endpointListPoller.lastReadAtMs(),
    operatorReadAtMs: () => operatorWatch.confirmedAtMs(),
    configurationVersion: () => configuration.version,
  });
  const cluster: GatewayCluster = new GatewayCluster(context, hints, ids => {
    knownDaemons.recordListed(ids);
  });
  const peerConnections = new EndpointClient(platform.protocol);
  const requestRelay = new RelayClient({
    reachability,
    upstream: peerConnections,
    signer: new MessageSigner(settings.peerSecret, clock),
    peers: new RelayPeers({
      ...context,
      reachability,
      livePeers: () => cluster.membership.live(),
      freshHints: nowMs => cluster.hintBoard.freshHints(nowMs),
    }),
  });
  const retryBudgets = new RetryBudgets(
    settings.bounds,
    () => cluster.size,
    clock,
  );
  const stopSchedule = new StopSchedule(clock);
  const forwarder = new Forwarder({
    ...context,
    nextPoll,
    protocol: platform.protocol,
    upstream: new ObservedUpstream(endpointClient, reachability, clock),
    crashDetector: new CrashDetector({
      clock,
      log,
      upstream: endpointClient,
      crashGuard: quarantine,
      reachesEndpoints: () => reachability.confirmAny(),
    }),
    crashGuard: quarantine,
    configuration,
    pool,
    endpointListAgeMs: () => clock.nowMs() - endpointListPoller.lastReadAtMs(),
    tokenBuckets,
    retryBudgetOf: group => retryBudgets.forGroup(group),
    versions: rollouts,
    usageCounter: duties.usageLedger,
    requestRelay,
    dispatchWindow: stopSchedule,
    responseMemory: new ResponseMemory(context, context.machine.responseBytes),
  });
  const limits = () => configuration.current?.limits ?? DEFAULT_LIMITS;
  const relayServer = new RelayServer({
    ...context,
    forwarder,
    limits,
    protocol: platform.protocol,
    peerServer: cluster.peerServer,
  });
  cluster.onRelay((request, response) => {
    void relayServer.serve(request, response);
  });
  const ingress = new IngressServer({
    ...context,
    forwarder,
    protocol: platform.protocol,
    limits,
    workspaceOf: apiKey => configuration.findByKey(apiKey)?.workspace,
  });

  const replicator = new StateReplicator(context, {
    configuration,
    pool,
    rollouts,
    endpointClient,
    cluster,
    onConfiguration: () => {
      ingress.applyLimits();
    },
  });
  const isReader = () => cluster.readerRole.isReader();
  const operatorWatch: OperatorWatch = new OperatorWatch({
    ...context,
    isReader,
    lastPeerReadAtMs: () =>
      cluster.hintBoard.operatorReadAtMs(replicator.operatorsVersion),
    maxFollowedAgeMs:
      settings.bounds.configurationMs * CONFIGURATION_FOLLOWED_SHARE,
    source: platform.operators,
    monitor: createMonitor(context, 'operators', LogComponent.Configuration),
    onState: state => {
      replicator.handleOperatorState(state);
    },
  });
  const endpointListPoller: EndpointListPoller = new EndpointListPoller({
    ...context,
    source: platform.endpoints,
    monitor: createMonitor(context, 'endpoints', LogComponent.Routing),
    intervalMs: settings.bounds.drainMs * LISTING_INTERVAL_SHARE,
    maxFollowedAgeMs: settings.bounds.drainMs * LISTING_FOLLOWED_SHARE,
    isReader,
    lastPeerReadAtMs: () =>
      cluster.hintBoard.endpointReadAtMs(replicator.endpointsVersion),
    onListing: listing => {
      replicator.handleListing(listing);
    },
  });
  const loops = [
    createPollerLoop(
      context,
      LogComponent.Configuration,
      'operators',
      operatorWatch,
    ),
    createPollerLoop(
      context,
      LogComponent.Routing,
      'endpoints',
      endpointListPoller,
    ),
    createIntervalLoop(
      context,
      LogComponent.Routing,
      'reachability',
      REACHABILITY_INTERVAL_MS,
      () => reachability.step(),
    ),
    ...cluster.loops,
    ...duties.loops,
  ];
  return {
    ...context,
    configuration,
    pool,
    ingress,
    stopSchedule,
    endpointClient,
    peerConnections,
    relayServer,
    cluster,
    duties,
    loops,
  };
}

function createContext(
  settings: GatewaySettings,
  clock: Clock,
  seed: number,
): GatewayContext {
  const { identity, platform, telemetry } = settings;
  const output = new PinoLog(
    telemetry.logLevel,
    identity.daemonId,
    createNonBlockingOutput(),
  );
  const http = new HttpClient(clock);
  const log = new RateLimitedLog(output, clock, DEFAULT_LOG_RATE);
  const metrics = new PromMetrics();
  const machine = shareMachine(settings.callers);
  const parts = { clock, log, metrics };
  const store = new StoreClient(http, clock, platform.storeAddress, metrics);
  return {
    ...parts,
    settings,
    http,
    random: new SeededRandom(seed),
    machine,
    requestMemory: new RequestMemory(parts, machine.requestBytes),
    peerMemory: new RequestMemory(parts, machine.peerBytes),
    platform: {
      protocol: new PlatformProtocol(),
      keyValue: store,
      operators: new StoreOperatorSource(store),
      endpoints: new StoreEndpointSource(store),
      duties: new DutyClient(http, platform.cloudAddress),
      rolloutStatus: new StoreRolloutStatus(store),
    },
  };
}
