import type {
  Configuration,
  ConfigurationStore,
  EndpointListing,
  EndpointPool,
  OperatorState,
  RolloutOrder,
} from '@skylarkreach/core/forwarding';
import type { SpreadValue } from '@skylarkreach/core/membership';
import { LogPart } from '@skylarkreach/core/ports';
import type { RolloutBoard } from '@skylarkreach/core/rollouts';

import type { EndpointClient } from './endpoint-client.js';
import type { GatewayBase } from './gateway-base.js';
import type { GatewayCluster } from './gateway-cluster.js';

/** Keys of the values that daemons spread among themselves. */
enum SpreadKey {
  Configuration = 'configuration',
  Endpoints = 'endpoints',
  Rollouts = 'rollouts',
}

/** Where news came from. */
enum NewsSource {
  Store = 'store',
  Peer = 'peer',
}

/** Time without any read of the list after which the store is taken to have been away. */
const OUTAGE_MS = 2_500; // three intervals of reading
/** Time after its return in which entries that lapsed meanwhile are back. */
const LAPSED_BACK_MS = 2_200; // the platform names about two seconds

export interface KnowledgeParts {
  readonly configuration: ConfigurationStore;
  readonly pool: EndpointPool;
  readonly rollouts: RolloutBoard;
  readonly endpointClient: EndpointClient;
  readonly cluster: GatewayCluster;
  /** Called when a configuration has come into force. */
  readonly onConfiguration: () => void;
}

/** Puts in force what the store and the peers tell, and tells peers what the store told. */
export class GatewayKnowledge {
  private listedText = '';
  private confirmedAtMs: number;
  private missingUntilMs = -Infinity;

  constructor(
    private readonly base: GatewayBase,
    private readonly parts: KnowledgeParts,
  ) {
    this.confirmedAtMs = base.clock.nowMs();
    parts.cluster.membership.onValue(value => {
      this.takeSpread(value);
    });
  }

  /** Version of the list of endpoints that peers know this daemon to have. */
  get endpointsVersion(): number {
    return this.spreadVersion(SpreadKey.Endpoints);
  }

  takeOperatorState(state: OperatorState): void {
    const { rollouts } = this.parts;
    if (state.malformed > 0) this.noteMalformed(state);
    for (const order of state.rollouts) rollouts.takeOrder(order);
    for (const end of state.ended) rollouts.takeEnd(end);
    const orders = rollouts.trials().map(trial => trial.order);
    const newest = Math.max(0, ...orders.map(order => order.revision));
    this.spread(SpreadKey.Rollouts, newest, orders);
    const next = state.configuration;
    if (next === undefined) return;
    this.applyConfiguration(next, NewsSource.Store);
    this.spread(SpreadKey.Configuration, next.version, next);
  }

  takeListing(listing: EndpointListing): void {
    this.applyListing(listing, NewsSource.Store);
    const text = JSON.stringify(listing.endpoints);
    if (text === this.listedText) return;
    this.listedText = text;
    this.spread(SpreadKey.Endpoints, listing.revision, listing);
  }

  /** Peers seal what they send; each value was read from the store by one of them. */
  private takeSpread({ key, value }: SpreadValue): void {
    if (key === SpreadKey.Configuration.valueOf()) {
      const next = JSON.parse(value) as Configuration;
      this.applyConfiguration(next, NewsSource.Peer);
    }
    if (key === SpreadKey.Rollouts.valueOf()) {
      const orders = JSON.parse(value) as readonly RolloutOrder[];
      for (const order of orders) this.parts.rollouts.takeOrder(order);
    }
    if (key === SpreadKey.Endpoints.valueOf()) {
      this.applyListing(JSON.parse(value) as EndpointListing, NewsSource.Peer);
    }
  }

  private applyConfiguration(next: Configuration, source: NewsSource): void {
    if (!this.parts.configuration.apply(next)) return;
    this.parts.onConfiguration();
    this.base.log.info(LogPart.Configuration, 'A configuration is in force.', {
      version: next.version,
      routes: next.routes.length,
      source,
    });
  }

  private applyListing(listing: EndpointListing, source: NewsSource): void {
    const { endpointClient, pool } = this.parts;
    const before = new Set(pool.endpoints().map(each => each.id));
    if (!pool.apply(listing, this.noteOutage())) return;
    const after = new Set(pool.endpoints().map(each => each.id));
    endpointClient.keepOnly(after);
    this.base.metrics.gauge('endpoints.known', after.size);
    const added = [...after].filter(id => !before.has(id));
    const removed = [...before].filter(id => !after.has(id));
    if (added.length + removed.length === 0) return;
    this.base.log.info(LogPart.Routing, 'The endpoints have changed.', {
      revision: listing.revision,
      added: added.join(','),
      removed: removed.join(','),
      source,
    });
  }

  /** Time until which endpoints that the list lacks may be used; undefined where the store was not away lately. */
  private noteOutage(): number | undefined {
    const nowMs = this.base.clock.nowMs();
    const { board } = this.parts.cluster;
    const othersReadAtMs = board.endpointReadAtMs(Infinity, nowMs);
    const lastAtMs = Math.max(this.confirmedAtMs, othersReadAtMs);
    if (nowMs - lastAtMs > OUTAGE_MS) {
      this.missingUntilMs = nowMs + LAPSED_BACK_MS;
    }
    this.confirmedAtMs = nowMs;
    return nowMs < this.missingUntilMs ? this.missingUntilMs : undefined;
  }

  private noteMalformed({ malformed, revision }: OperatorState): void {
    const { log, metrics } = this.base;
    metrics.increment('configuration.malformed', malformed);
    log.warn(LogPart.Configuration, 'Entries of operators cannot be read.', {
      entries: malformed,
      revision,
    });
  }

  private spreadVersion(key: SpreadKey): number {
    return this.parts.cluster.membership.store.version(key);
  }

  private spread(key: SpreadKey, version: number, value: unknown): void {
    if (version <= this.spreadVersion(key)) return;
    const text = JSON.stringify(value);
    void this.parts.cluster.membership.publish({ key, version, value: text });
  }
}
