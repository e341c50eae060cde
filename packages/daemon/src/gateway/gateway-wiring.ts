import { Evacuations } from '@skylarkreach/core/evacuations';
import {
  ConfigurationStore,
  CrashDetector,
  DataCentreGate,
  EndpointPool,
  Forwarder,
  RequestMemory,
  ResponseMemory,
  routeNamesFor,
  TokenBucketLedger,
} from '@skylarkreach/core/forwarding';
import type { Clock } from '@skylarkreach/core/ports';
import { LogComponent, SeededRandom } from '@skylarkreach/core/ports';
import { RequestQuarantine } from '@skylarkreach/core/quarantine';
import { ObservedUpstream } from '@skylarkreach/core/reachability';
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
import { createPollerLoop } from '../loops/index.js';
import type { GatewaySettings } from '../settings/index.js';
import { shareMachine } from '../settings/index.js';
import {
  createNonBlockingOutput,
  DEFAULT_LOG_RATE,
  PinoLog,
  PromMetrics,
  RateLimitedLog,
} from '../telemetry/index.js';
import { createEndpointListPoller } from './create-endpoint-list-poller.js';
import { createLeastWork } from './create-least-work.js';
import type { OperatorReads } from './create-operator-reads.js';
import { createOperatorReads } from './create-operator-reads.js';
import { createPromptTransfers } from './create-prompt-transfers.js';
import { createReachability } from './create-reachability.js';
import { DEFAULT_LIMITS } from './default-limits.js';
import type { EndpointConnector } from './endpoint-client.js';
import { EndpointClient } from './endpoint-client.js';
import { createEndpointGuards } from './endpoint-guards.js';
import { GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';
import { GatewayDuties } from './gateway-duties.js';
import { GatewayHints } from './gateway-hints.js';
import { GatewayQueue } from './gateway-queue.js';
import { IngressServer } from './ingress-server.js';
import { createRelayClient } from './relay-client.js';
import { RelayServer } from './relay-server.js';
import { createRetryBudgets } from './retry-budgets.js';
import type { StatePoller } from './state-poller.js';
import { StateReplicator } from './state-replicator.js';
import { StopSchedule } from './stop-schedule.js';

/** Components of a gateway daemon. */
export interface GatewayWiring extends GatewayContext {
  readonly configuration: ConfigurationStore;
  readonly pool: EndpointPool;
  readonly evacuations: Evacuations;
  readonly ingress: IngressServer;
  readonly stopSchedule: StopSchedule;
  readonly endpointClient: EndpointClient;
  /** Connections to peers for requests that are passed on. */
  readonly peerConnections: EndpointClient;
  readonly relayServer: RelayServer;
  readonly cluster: GatewayCluster;
  readonly duties: GatewayDuties;
  readonly queue: GatewayQueue;
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
  const evacuations = new Evacuations();
  const groupOf = (name: string) =>
    configuration.current?.groups.find(group => group.name === name);
  const { coldStartsLoop, knownDaemons, ...guards } = createEndpointGuards(
    context,
    {
      livePeers: () => cluster.membership.live(),
      timeMs: () => duties.trueTime.nowMs(),
      coldStartOf: group => groupOf(group)?.coldStart,
      listConfirmedAtMs: () => endpointListPoller.lastReadAtMs(),
    },
  );
  const { coldStarts } = guards;
  evacuations.onEnd(dataCentre => {
    coldStarts.recordEvacuationEnd(dataCentre);
  });
  const byWork = createLeastWork(context, () => duties.trueTime.nowMs());
  const queueSources = () => ({ pool, cluster, knownDaemons, reachability });
  const queue = new GatewayQueue(context, configuration, queueSources);
  evacuations.onBegin(() => {
    queue.gate?.recheckWaiting();
  });
  const pool: EndpointPool = new EndpointPool(context.random, {
    dataCentre: settings.identity.dataCentre,
    prefillTokensPerMs: settings.routing.prefillTokensPerMs,
    timeMs: () => duties.trueTime.nowMs(),
    engineMemoryTokens: group => groupOf(group)?.engine?.cacheTokens,
    ...guards,
    isEvacuated: dataCentre => evacuations.isEvacuated(dataCentre),
    loadObserver: queue.gate,
    ...(byWork && { placement: byWork.placement }),
    ...createPromptTransfers(settings, groupOf),
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
  const endpointClient = new EndpointClient(
    platform.protocol,
    connectEndpoint,
    endpoint => {
      coldStarts.recordConnectionFailure(endpoint);
    },
  );
  const { reachability, reachabilityLoop } = createReachability(context, {
    probe: endpointClient,
    pool,
    evacuations,
  });
  const rollouts = new RolloutRegistry({
    log,
    nowMs: () => clock.nowMs(),
    optionsFor: group => ({
      get exposureShare() {
        return settings.bounds.exposureShare;
      },
      get exposureSlack() {
        return settings.bounds.exposureSlack;
      },
      daemons: () => cluster.size,
      routes: () => routeNamesFor(configuration.current, group),
    }),
  });
  const quarantine = new RequestQuarantine({
    ...context,
    nowMs: () => clock.nowMs(),
  });
  const duties: GatewayDuties = new GatewayDuties(context, {
    configuration,
    pool,
    evacuations,
    rollouts,
    cluster: () => cluster,
  });
  const hints = new GatewayHints(context, {
    pool,
    tokenBuckets,
    rollouts,
    quarantine,
    endpointLimits: guards.limiter,
    brittleEndpoints: guards.overloadGuard,
    leavingEndpoints: guards.leaving,
    coldStarts,
    loadReports: byWork?.reports,
    reachability,
    duties,
    cluster: () => cluster,
    endpointsVersion: () => replicator.endpointsVersion,
    endpointReadAtMs: () => endpointListPoller.lastReadAtMs(),
    operatorReadAtMs: () => operatorReads.operatorPoller.lastReadAtMs(),
    configurationVersion: () => configuration.version,
    evacuationsVersion: () => replicator.evacuationsVersion,
  });
  const cluster: GatewayCluster = new GatewayCluster(context, hints, ids => {
    knownDaemons.recordListed(ids);
  });
  const peerConnections = new EndpointClient(platform.protocol);
  const requestRelay = createRelayClient(context, {
    reachability,
    upstream: peerConnections,
    cluster,
  });
  const retryBudgets = createRetryBudgets(
    context,
    cluster,
    knownDaemons,
    duties.trueTime,
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
    dataCentres: new DataCentreGate({
      identity: settings.identity,
      evacuations,
      endpoints: () => pool.endpoints(),
    }),
    usageCounter: duties.usageLedger,
    firstEvents: duties.firstEvents,
    ...(byWork && { outputEstimator: byWork.outputEstimator }),
    requestRelay,
    dispatchWindow: stopSchedule,
    responseMemory: new ResponseMemory(context, context.machine.responseBytes),
    ...queue.forwarding,
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
    coldStarts,
    evacuations,
    endpointClient,
    cluster,
    onConfiguration: () => {
      ingress.applyLimits();
    },
  });
  const operatorReads: OperatorReads = createOperatorReads(context, {
    cluster,
    evacuations,
    replicator,
    rollouts,
  });
  const endpointListPoller: StatePoller = createEndpointListPoller(context, {
    cluster,
    replicator,
  });
  const loops = [
    createPollerLoop(
      context,
      LogComponent.Configuration,
      'operators',
      operatorReads.operatorPoller,
    ),
    createPollerLoop(
      context,
      LogComponent.Configuration,
      'operator watch',
      operatorReads.operatorWatch,
    ),
    createPollerLoop(
      context,
      LogComponent.Routing,
      'endpoints',
      endpointListPoller,
    ),
    reachabilityLoop,
    coldStartsLoop,
    ...queue.loops,
    ...cluster.loops,
    ...duties.loops,
    ...duties.createTellingLoops(context, cluster),
  ];
  return {
    ...context,
    configuration,
    pool,
    evacuations,
    ingress,
    stopSchedule,
    endpointClient,
    peerConnections,
    relayServer,
    cluster,
    duties,
    queue,
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
