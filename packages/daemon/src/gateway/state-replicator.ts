import type { Evacuations } from '@skylarkreach/core/evacuations';
import type {
  ColdStartGuard,
  Configuration,
  ConfigurationStore,
  EndpointListing,
  EndpointPool,
  OperatorState,
} from '@skylarkreach/core/forwarding';
import {
  EndpointState,
  parseSharedConfiguration,
  parseSharedListing,
  parseSharedOrders,
} from '@skylarkreach/core/forwarding';
import type { ReplicatedValue } from '@skylarkreach/core/membership';
import { LogComponent } from '@skylarkreach/core/ports';
import type { RolloutRegistry } from '@skylarkreach/core/rollouts';
import { parseSharedRollback } from '@skylarkreach/core/rollouts';

import type { EndpointClient } from './endpoint-client.js';
import { EvacuationReplicator } from './evacuation-replicator.js';
import type { GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';
import { GossipKey } from './gossip-key.js';
import { UpdateSource } from './update-source.js';

/** Prefix of the keys of rollback decisions, one for each group, so that decisions need no merging; the version is the revision of the order. */
const ROLLBACK_KEY_PREFIX = 'rollback/';

/** Version below those of all configurations. */
const NO_VERSION = -1;
/** Time without a successful read of the endpoint list by any daemon that counts as an outage of the store. */
const OUTAGE_THRESHOLD_MS = 2_500; // three intervals of reading
/** Time after an outage within which entries that expired during it are registered again. */
const REREGISTRATION_GRACE_MS = 2_200; // the platform states about two seconds

export interface StateReplicatorDependencies {
  readonly configuration: ConfigurationStore;
  readonly pool: EndpointPool;
  readonly rollouts: RolloutRegistry;
  readonly coldStarts: Pick<ColdStartGuard, 'applyListing'>;
  readonly evacuations: Evacuations;
  readonly endpointClient: EndpointClient;
  readonly cluster: GatewayCluster;
  /** Called when a configuration has come into force. */
  readonly onConfiguration: () => void;
}

/**
 * Applies configurations, rollout orders and endpoint lists from the store and
 * from peers, and publishes to peers what this daemon read from the store.
 */
export class StateReplicator {
  /** Endpoints of the list that this daemon and its peers hold. */
  private sharedEndpointsJson = '';
  private lastConfirmedAtMs: number;
  private graceUntilMs = -Infinity;
  private heldEndpointsVersion = 0;
  /** Whether peers sent orders that this daemon could not apply. */
  private lacksOrders = false;
  private readonly evacuationReplicator: EvacuationReplicator;

  constructor(
    private readonly context: GatewayContext,
    private readonly deps: StateReplicatorDependencies,
  ) {
    this.lastConfirmedAtMs = context.clock.nowMs();
    this.evacuationReplicator = new EvacuationReplicator({
      ...context,
      evacuations: deps.evacuations,
      sharedVersion: () => this.gossipVersion(GossipKey.Evacuations),
      publish: state => {
        this.publish(GossipKey.Evacuations, state.revision, state);
      },
    });
    deps.cluster.membership.onValue(value => {
      this.tryApplyGossip(value);
    });
    deps.rollouts.onRollback(decision => {
      const key = ROLLBACK_KEY_PREFIX + decision.group;
      const { revision: version } = decision;
      if (version <= this.gossipVersion(key)) return;
      const value = JSON.stringify(decision);
      // Unlike what each reader finds in the store, a decision is broadcast without a wait.
      void deps.cluster.membership.publish({ key, version, value });
    });
  }

  /**
   * Latest version of the endpoint list that this daemon published, applied or
   * has read by itself: a version that it could not apply is not one that it holds.
   */
  get endpointsVersion(): number {
    return this.heldEndpointsVersion;
  }

  /** Version up to which this daemon holds all of the operators' state, as far as peers sent it. */
  get operatorsVersion(): number {
    return this.lacksOrders ? NO_VERSION : this.deps.configuration.version;
  }

  /** Version of the evacuations that this daemon holds; undefined if peers sent one that it could not apply. */
  get evacuationsVersion(): number | undefined {
    return this.evacuationReplicator.heldVersion;
  }

  /** Applies operator state read from the store and publishes its evacuations, rollouts and configuration. */
  handleOperatorState(state: OperatorState): void {
    const { rollouts } = this.deps;
    // Evacuations and orders come before the configuration, by which a starting daemon begins to serve.
    this.evacuationReplicator.handleRead(state.evacuations);
    if (state.malformed > 0) this.reportMalformed(state);
    for (const order of state.rollouts) rollouts.applyOrder(order);
    for (const rollout of state.ended) rollouts.applyOutcome(rollout);
    const orders = rollouts.rollouts().map(trial => trial.order);
    this.publish(GossipKey.Rollouts, rollouts.newestRevision, orders);
    if (state.revision >= this.gossipVersion(GossipKey.Rollouts))
      this.lacksOrders = false;
    const next = state.configuration;
    if (next === undefined) return;
    this.applyConfiguration(next, UpdateSource.Store);
    this.publish(GossipKey.Configuration, next.version, next);
  }

  /** Applies an endpoint list whose read from the store began at `readAtMs`, and publishes it if its endpoints differ from those that peers hold. */
  handleListing(listing: EndpointListing, readAtMs: number): void {
    this.applyListing(listing, UpdateSource.Store, readAtMs);
    const sharedVersion = this.gossipVersion(GossipKey.Endpoints);
    if (listing.revision >= sharedVersion)
      this.heldEndpointsVersion = sharedVersion;
    const endpointsJson = JSON.stringify(listing.endpoints);
    if (endpointsJson === this.sharedEndpointsJson) return;
    this.publish(GossipKey.Endpoints, listing.revision, listing);
  }

  /** Applies a value received from a peer; one that cannot be applied is logged and left out. */
  private tryApplyGossip(value: ReplicatedValue): void {
    try {
      this.applyGossip(value);
    } catch (error) {
      const { log, metrics } = this.context;
      const { key, version } = value;
      if (key === GossipKey.Rollouts.valueOf()) this.lacksOrders = true;
      metrics.increment('peers.malformedValues', 1, { key });
      log.warn(
        LogComponent.Membership,
        'A value from a peer could not be applied.',
        { key, version, error: String(error) },
      );
    }
  }

  /**
   * Applies a value received from a peer, which may run another build. Throws if
   * this build cannot read it; the daemon then reads the store by itself.
   */
  private applyGossip({ key, value, version }: ReplicatedValue): void {
    if (key === GossipKey.Configuration.valueOf()) {
      const next = parseSharedConfiguration(value);
      if (this.mayLackHomeRegions(next)) this.reportIncomplete(next);
      else this.applyConfiguration(next, UpdateSource.Peer);
    }
    if (key === GossipKey.Rollouts.valueOf()) {
      for (const order of parseSharedOrders(value))
        this.deps.rollouts.applyOrder(order);
    }
    if (key.startsWith(ROLLBACK_KEY_PREFIX))
      this.deps.rollouts.applyRollback(parseSharedRollback(value));
    if (key === GossipKey.Evacuations.valueOf())
      this.evacuationReplicator.handleShared(value);
    if (key === GossipKey.Endpoints.valueOf()) {
      const listing = parseSharedListing(value);
      this.sharedEndpointsJson = JSON.stringify(listing.endpoints);
      this.applyListing(listing, UpdateSource.Peer);
      this.heldEndpointsVersion = version;
    }
  }

  /** Whether a peer of an earlier build may have left out home regions that this daemon has to keep to. */
  private mayLackHomeRegions({ knowsHomeRegions }: Configuration): boolean {
    const { regions } = this.context.settings.identity;
    return Object.keys(regions).length > 0 && knowsHomeRegions !== true;
  }

  /** This daemon reads the store by itself, as the peer's reads do not confirm a version that it does not hold. */
  private reportIncomplete({ version }: Configuration): void {
    const { log, metrics } = this.context;
    metrics.increment('configuration.incomplete', 1);
    log.info(
      LogComponent.Configuration,
      'A configuration from a peer may lack home regions and is not applied.',
      { version },
    );
  }

  private applyConfiguration(next: Configuration, source: UpdateSource): void {
    if (!this.deps.configuration.apply(next)) return;
    this.deps.onConfiguration();
    this.context.log.info(
      LogComponent.Configuration,
      'A configuration is in force.',
      {
        version: next.version,
        routes: next.routes.length,
        source,
      },
    );
  }

  /** `readAtMs` is -Infinity if it is not known when the list was read. */
  private applyListing(
    listing: EndpointListing,
    source: UpdateSource,
    readAtMs = -Infinity,
  ): void {
    const { coldStarts, endpointClient, pool } = this.deps;
    // A list of the same revision confirms the one in use.
    if (listing.revision >= pool.revision)
      coldStarts.applyListing(listing.endpoints, readAtMs);
    const before = statesById(pool);
    const graceUntilMs = this.updateGraceUntilMs();
    if (!pool.apply(listing, graceUntilMs)) return;
    const after = statesById(pool);
    endpointClient.retainEndpoints(new Set(after.keys()));
    this.context.metrics.gauge('endpoints.known', after.size);
    const added = [...after.keys()].filter(id => !before.has(id));
    const removed = [...before.keys()].filter(id => !after.has(id));
    const draining = [...after.keys()].filter(
      id =>
        after.get(id) === EndpointState.Draining &&
        before.get(id) !== EndpointState.Draining,
    );
    const listed = new Set(listing.endpoints.map(each => each.id));
    const retained = [...after.keys()].filter(id => !listed.has(id));
    if (added.length + removed.length + draining.length + retained.length === 0)
      return;
    this.context.log.info(LogComponent.Routing, 'The endpoints have changed.', {
      revision: listing.revision,
      added: added.join(','),
      removed: removed.join(','),
      draining: draining.join(','),
      retained: retained.join(','),
      source,
    });
  }

  /**
   * Records that a list arrived. Returns the time until which endpoints missing
   * from it may still be used; undefined if there was no recent store outage.
   */
  private updateGraceUntilMs(): number | undefined {
    const nowMs = this.context.clock.nowMs();
    const { hintBoard } = this.deps.cluster;
    const peersReadAtMs = hintBoard.endpointReadAtMs(Infinity);
    const lastReadAtMs = Math.max(this.lastConfirmedAtMs, peersReadAtMs);
    if (nowMs - lastReadAtMs > OUTAGE_THRESHOLD_MS) {
      this.graceUntilMs = nowMs + REREGISTRATION_GRACE_MS;
    }
    this.lastConfirmedAtMs = nowMs;
    return nowMs < this.graceUntilMs ? this.graceUntilMs : undefined;
  }

  private reportMalformed({ malformed, revision }: OperatorState): void {
    const { log, metrics } = this.context;
    metrics.increment('configuration.malformed', malformed);
    log.warn(
      LogComponent.Configuration,
      'Operator entries could not be parsed.',
      {
        entries: malformed,
        revision,
      },
    );
  }

  private gossipVersion(key: string): number {
    return this.deps.cluster.membership.store.version(key);
  }

  private publish(key: GossipKey, version: number, value: unknown): void {
    if (version <= this.gossipVersion(key)) return;
    const text = JSON.stringify(value);
    const { membership } = this.deps.cluster;
    void membership.publishShared({ key, version, value: text });
  }
}

function statesById(pool: EndpointPool): ReadonlyMap<string, EndpointState> {
  return new Map(pool.endpoints().map(each => [each.id, each.state]));
}
