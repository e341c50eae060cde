import type {
  CallerLimits,
  Configuration,
  EndpointListing,
  OperatorState,
  RolloutOrder,
} from '@skylarkreach/core/forwarding';
import {
  AllowanceLedger,
  ConfigurationStore,
  EndpointPool,
  Forwarder,
} from '@skylarkreach/core/forwarding';
import type { DaemonHints } from '@skylarkreach/core/hints';
import type { Clock } from '@skylarkreach/core/ports';
import { LogPart, SeededRandom } from '@skylarkreach/core/ports';
import { RolloutBoard } from '@skylarkreach/core/rollouts';
import { RetryBudget } from '@skylarkreach/core/routing';
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
import { OperatorWatch } from './operator-watch.js';

/** Limits in force until a configuration is known. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Part of the drain bound after which the list of endpoints is read again. */
const LISTING_SHARE = 0.4; // leaves a second read within the bound where one is lost
/** Time without any read of the list after which the store is taken to have been away. */
const OUTAGE_MS = 2_500; // three intervals of reading
/** Time after its return in which entries that lapsed meanwhile are back. */
const LAPSED_BACK_MS = 2_200; // the platform names about two seconds
/** Lines of one kind a second: some times the requests of one daemon at the size planned for. */
const LOG_LINES_PER_SECOND = 50;
/** Part of the repeats allowed that daemons use, which leaves room for their uneven shares. */
const REPEAT_USE = 0.8;
/** Keys of the values that daemons spread among themselves. */
const CONFIGURATION_KEY = 'configuration';
const ENDPOINTS_KEY = 'endpoints';
const ROLLOUTS_KEY = 'rollouts';

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
  const { log, metrics, platform } = base;
  const configuration = new ConfigurationStore();
  const pool = new EndpointPool(base.random, {
    dataCentre: settings.identity.dataCentre,
    prefillTokensPerMs: settings.routing.prefillTokensPerMs,
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
  const lifetime = `${settings.identity.daemonId}/${Math.round(clock.nowMs())}`;
  const startedAtMs = clock.nowMs();
  let sequence = 0;
  const ownHints = (): DaemonHints => {
    sequence += 1;
    const nowMs = clock.nowMs();
    const readAgeMs = nowMs - endpointWatch.lastOwnReadAtMs;
    return {
      daemonId: settings.identity.daemonId,
      lifetime,
      sequence,
      ageMs: nowMs - startedAtMs,
      wallMs: Date.now(),
      work: Object.fromEntries(pool.ownWork()),
      grantedTokens: allowances.granted(),
      usage: duties.ledger.ownUsage(),
      endpointsVersion: spreadVersion(ENDPOINTS_KEY),
      ...(Number.isFinite(readAgeMs) ? { endpointReadAgeMs: readAgeMs } : {}),
      rollouts: rollouts.hints(),
      holdsDuties: duties.holder.current() !== undefined,
    };
  };
  const takeHints = (hints: DaemonHints) => {
    const nowMs = clock.nowMs();
    duties.trueTime.observe(hints.daemonId, hints.wallMs);
    duties.ledger.applyPeer(hints);
    const isNew = hints.ageMs < nowMs - startedAtMs;
    allowances.applyPeer(hints.lifetime, hints.grantedTokens, isNew);
    allowances.keepPeers(cluster.board.lifetimes());
    rollouts.applyPeer(hints.lifetime, hints.rollouts);
    pool.applyPeerWork(cluster.board.work(nowMs));
  };
  const cluster = new GatewayCluster(base, { ownHints, takeHints });
  const spreadVersion = (key: string) => cluster.membership.store.version(key);
  const spread = (key: string, version: number, value: unknown) => {
    if (version <= spreadVersion(key)) return;
    void cluster.membership.publish({
      key,
      version,
      value: JSON.stringify(value),
    });
  };

  const forwarder = new Forwarder({
    ...base,
    protocol: platform.protocol,
    upstream: endpointClient,
    configuration,
    pool,
    allowances,
    budgetOf: createBudgets(base, () => cluster.size),
    versions: rollouts,
    usage: duties.ledger,
  });
  const front = new FrontServer({
    ...base,
    forwarder,
    protocol: platform.protocol,
    limits: () => configuration.current?.limits ?? DEFAULT_LIMITS,
  });

  const applyConfiguration = (next: Configuration, source: string) => {
    if (!configuration.apply(next)) return;
    front.applyLimits();
    log.info(LogPart.Configuration, 'A configuration is in force.', {
      version: next.version,
      routes: next.routes.length,
      source,
    });
  };
  let missingUntilMs = -Infinity;
  let confirmedAtMs = clock.nowMs();
  const applyListing = (listing: EndpointListing, source: string) => {
    const before = new Set(pool.endpoints().map(each => each.id));
    const nowMs = clock.nowMs();
    const othersReadAtMs = cluster.board.endpointReadAtMs(Infinity, nowMs);
    if (nowMs - Math.max(confirmedAtMs, othersReadAtMs) > OUTAGE_MS) {
      missingUntilMs = nowMs + LAPSED_BACK_MS;
    }
    confirmedAtMs = nowMs;
    const isBack = nowMs >= missingUntilMs;
    if (!pool.apply(listing, isBack ? undefined : missingUntilMs)) return;
    const after = new Set(pool.endpoints().map(each => each.id));
    endpointClient.keepOnly(after);
    metrics.gauge('endpoints.known', after.size);
    const added = [...after].filter(id => !before.has(id));
    const removed = [...before].filter(id => !after.has(id));
    if (added.length + removed.length === 0) return;
    log.info(LogPart.Routing, 'The endpoints have changed.', {
      revision: listing.revision,
      added: added.join(','),
      removed: removed.join(','),
      source,
    });
  };
  cluster.membership.onValue(({ key, value }) => {
    // Peers seal what they send; each value was read from the store by one of them.
    if (key === CONFIGURATION_KEY) {
      applyConfiguration(JSON.parse(value) as Configuration, 'peer');
    }
    if (key === ROLLOUTS_KEY) {
      const orders = JSON.parse(value) as readonly RolloutOrder[];
      for (const order of orders) rollouts.takeOrder(order);
    }
    if (key === ENDPOINTS_KEY) {
      applyListing(JSON.parse(value) as EndpointListing, 'peer');
    }
  });

  const takeOperatorState = (state: OperatorState) => {
    if (state.malformed > 0) {
      metrics.increment('configuration.malformed', state.malformed);
      log.warn(LogPart.Configuration, 'Entries of operators cannot be read.', {
        entries: state.malformed,
        revision: state.revision,
      });
    }
    for (const order of state.rollouts) rollouts.takeOrder(order);
    for (const end of state.ended) rollouts.takeEnd(end);
    const orders = rollouts.trials().map(trial => trial.order);
    const newest = Math.max(0, ...orders.map(order => order.revision));
    spread(ROLLOUTS_KEY, newest, orders);
    const next = state.configuration;
    if (next === undefined) return;
    applyConfiguration(next, 'store');
    spread(CONFIGURATION_KEY, next.version, next);
  };
  let listedText = '';
  const takeListing = (listing: EndpointListing) => {
    applyListing(listing, 'store');
    const text = JSON.stringify(listing.endpoints);
    if (text === listedText) return;
    listedText = text;
    spread(ENDPOINTS_KEY, listing.revision, listing);
  };
  const operatorWatch = new OperatorWatch({
    ...base,
    source: platform.operators,
    dependency: dependency(base, 'operators', LogPart.Configuration),
    take: takeOperatorState,
  });
  const endpointWatch: EndpointWatch = new EndpointWatch({
    ...base,
    source: platform.endpoints,
    dependency: dependency(base, 'endpoints', LogPart.Routing),
    intervalMs: settings.bounds.drainMs * LISTING_SHARE,
    lastReadAtMs: () =>
      cluster.board.endpointReadAtMs(
        spreadVersion(ENDPOINTS_KEY),
        clock.nowMs(),
      ),
    take: takeListing,
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

/** Repeats that this daemon may send to each group: its part of what all may. */
function createBudgets(
  { settings }: GatewayBase,
  daemons: () => number,
): (group: string) => RetryBudget {
  const { repeatShare, repeatSlack } = settings.bounds;
  const budgets = new Map<string, RetryBudget>();
  return group => {
    let budget = budgets.get(group);
    if (budget === undefined) {
      const ownSlack = () => (repeatSlack * REPEAT_USE) / daemons();
      budget = new RetryBudget({
        share: repeatShare * REPEAT_USE,
        initialSaved: ownSlack(),
        get maxSaved() {
          return ownSlack();
        },
      });
      budgets.set(group, budget);
    }
    return budget;
  };
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
