import type {
  CallerLimits,
  Configuration,
} from '@skylarkreach/core/forwarding';
import {
  AllowanceLedger,
  ConfigurationStore,
  EndpointPool,
  Forwarder,
} from '@skylarkreach/core/forwarding';
import type { Clock } from '@skylarkreach/core/ports';
import { LogPart, SeededRandom } from '@skylarkreach/core/ports';
import { RolloutBoard } from '@skylarkreach/core/rollouts';
import {
  DutyClient,
  PlatformProtocol,
  StoreClient,
  StoreEndpointSource,
  StoreOperatorSource,
  StoreRolloutStatus,
} from '@skylarkreach/platform';

import { HttpClient } from '../adapters/index.js';
import { Loop } from '../loops/index.js';
import type { GatewaySettings } from '../settings/index.js';
import {
  BoundedLog,
  droppingOutput,
  PinoLog,
  PromMetrics,
} from '../telemetry/index.js';
import { Dependency } from './dependency.js';
import { EndpointClient } from './endpoint-client.js';
import { EndpointWatch } from './endpoint-watch.js';
import { FrontServer } from './front-server.js';
import type { GatewayBase } from './gateway-base.js';
import { GatewayCluster } from './gateway-cluster.js';
import { GatewayDuties } from './gateway-duties.js';
import { GatewayHints } from './gateway-hints.js';
import { GatewayKnowledge } from './gateway-knowledge.js';
import { OperatorWatch } from './operator-watch.js';
import { RepeatBudgets } from './repeat-budgets.js';

/** Limits in force until a configuration is known. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Part of the drain bound after which the list of endpoints is read again. */
const LISTING_SHARE = 0.4; // leaves a second read within the bound where one is lost
/** Lines of one kind a second: some times the requests of one daemon at the size planned for. */
const LOG_LINES_PER_SECOND = 50;

/** Everything that a daemon at a platform's entry runs. */
export interface GatewayWiring extends GatewayBase {
  readonly configuration: ConfigurationStore;
  readonly pool: EndpointPool;
  readonly front: FrontServer;
  readonly endpointClient: EndpointClient;
  readonly cluster: GatewayCluster;
  readonly duties: GatewayDuties;
  readonly loops: readonly Loop[];
}

/** Builds the parts of a daemon at a platform's entry and connects them. */
export function wireGateway(
  settings: GatewaySettings,
  clock: Clock,
  seed: number,
): GatewayWiring {
  const base = createBase(settings, clock, seed);
  const { log, platform } = base;
  const configuration = new ConfigurationStore();
  const pool = new EndpointPool(base.random, {
    dataCentre: settings.identity.dataCentre,
    prefillTokensPerMs: settings.routing.prefillTokensPerMs,
    memoryTokensIn: group =>
      configuration.current?.groups.find(each => each.name === group)?.engine
        ?.cacheTokens,
  });
  const allowances = new AllowanceLedger({
    rateShare: settings.bounds.allowanceRateShare,
    tokens: settings.bounds.allowanceTokens,
  });
  const endpointClient = new EndpointClient(platform.protocol);
  const { exposureShare, exposureSlack } = settings.bounds;
  const rollouts = new RolloutBoard({
    log,
    nowMs: () => clock.nowMs(),
    optionsFor: group => ({
      exposureShare,
      exposureSlack,
      daemons: () => cluster.size,
      routes: routesTo(configuration.current, group),
    }),
  });
  const duties: GatewayDuties = new GatewayDuties(base, {
    configuration,
    pool,
    rollouts,
    cluster: () => cluster,
  });
  const hints = new GatewayHints(base, {
    pool,
    allowances,
    rollouts,
    duties,
    cluster: () => cluster,
    endpointsVersion: () => knowledge.endpointsVersion,
    endpointReadAtMs: () => endpointWatch.lastOwnReadAtMs,
  });
  const cluster: GatewayCluster = new GatewayCluster(base, hints);
  const budgets = new RepeatBudgets(settings, () => cluster.size);
  const forwarder = new Forwarder({
    ...base,
    protocol: platform.protocol,
    upstream: endpointClient,
    configuration,
    pool,
    allowances,
    budgetOf: group => budgets.of(group),
    versions: rollouts,
    usage: duties.ledger,
  });
  const front = new FrontServer({
    ...base,
    forwarder,
    protocol: platform.protocol,
    limits: () => configuration.current?.limits ?? DEFAULT_LIMITS,
  });

  const knowledge = new GatewayKnowledge(base, {
    configuration,
    pool,
    rollouts,
    endpointClient,
    cluster,
    onConfiguration: () => {
      front.applyLimits();
    },
  });
  const operatorWatch = new OperatorWatch({
    ...base,
    source: platform.operators,
    dependency: dependency(base, 'operators', LogPart.Configuration),
    take: state => {
      knowledge.takeOperatorState(state);
    },
  });
  const endpointWatch: EndpointWatch = new EndpointWatch({
    ...base,
    source: platform.endpoints,
    dependency: dependency(base, 'endpoints', LogPart.Routing),
    intervalMs: settings.bounds.drainMs * LISTING_SHARE,
    lastReadAtMs: () =>
      cluster.board.endpointReadAtMs(knowledge.endpointsVersion, clock.nowMs()),
    take: listing => {
      knowledge.takeListing(listing);
    },
  });
  const loops = [
    loopOf(base, 'operators', LogPart.Configuration, operatorWatch),
    loopOf(base, 'endpoints', LogPart.Routing, endpointWatch),
    ...cluster.loops,
    ...duties.loops,
  ];
  return {
    ...base,
    configuration,
    pool,
    front,
    endpointClient,
    cluster,
    duties,
    loops,
  };
}

function createBase(
  settings: GatewaySettings,
  clock: Clock,
  seed: number,
): GatewayBase {
  const { identity, platform, telemetry } = settings;
  const output = new PinoLog(
    telemetry.logLevel,
    identity.daemonId,
    droppingOutput(),
  );
  const rate = { linesPerSecond: LOG_LINES_PER_SECOND };
  const http = new HttpClient(clock);
  const store = new StoreClient(http, clock, platform.storeAddress);
  return {
    settings,
    clock,
    http,
    random: new SeededRandom(seed),
    log: new BoundedLog(output, clock, rate),
    metrics: new PromMetrics(),
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

/** Names of the routes that lead to a group. */
function routesTo(
  configuration: Configuration | undefined,
  group: string,
): readonly string[] {
  const routes = configuration?.routes ?? [];
  return routes
    .filter(route => route.targets.some(target => target.group === group))
    .map(route => route.name);
}

function dependency(
  { log, metrics }: GatewayBase,
  name: string,
  part: LogPart,
): Dependency {
  return new Dependency(name, part, log, metrics);
}

function loopOf(
  { clock, log }: GatewayBase,
  name: string,
  part: LogPart,
  watch: { step(): Promise<void>; nextAtMs(nowMs: number): number },
): Loop {
  const nextAtMs = (nowMs: number) => watch.nextAtMs(nowMs);
  return new Loop(
    { name, part, nextAtMs, step: () => watch.step() },
    clock,
    log,
  );
}
