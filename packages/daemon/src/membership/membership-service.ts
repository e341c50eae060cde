import type {
  Membership,
  ReplicatedValue,
  ValueListener,
} from '@skylarkreach/core/membership';
import {
  RelayRole,
  ReplicatedValueStore,
  SwimMembership,
} from '@skylarkreach/core/membership';
import type {
  Address,
  Clock,
  DaemonIdentity,
  DataCentre,
  KeyValueStore,
  Log,
  Metrics,
  PeerClient,
  PeerRegistry,
  Random,
  StateSource,
} from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';
import type { RuleStore } from '@skylarkreach/core/rules';
import { RULES_KEY } from '@skylarkreach/core/rules';

import { Loop, RuleWatcher } from '../loops/index.js';
import { MembershipClient } from './membership-client.js';
import { registerMembershipMethods } from './membership-methods.js';
import type { SeedSource } from './seed-list-poller.js';
import { SeedListPoller } from './seed-list-poller.js';
import { ValueBroadcaster } from './value-broadcaster.js';

const TICK_MS = 250;
const METRICS_INTERVAL_MS = 5_000;
const INITIAL_JOIN_TARGETS = 3;

export interface MembershipServiceDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly peer: PeerClient;
  readonly registry: PeerRegistry;
  readonly seeds: SeedSource;
  /** Keys of which every digest states the version, as in `ReplicatedValueStore`. */
  readonly keysOfEveryDigest?: readonly string[];
  /** Rules to watch and broadcast; undefined where the daemon has none. */
  readonly rules?: ReplicatedRules;
}

/** Rule file in the key-value service, and its local replica. */
export interface ReplicatedRules {
  readonly keyValue: KeyValueStore;
  readonly store: RuleStore;
}

/** Membership and rule replication as shown in the operators' status. */
export interface MembershipStatus {
  readonly livePeers: number;
  /** Whether this daemon acts as a relay. */
  readonly relay: boolean;
  /** Whether the rules were recently confirmed to match the key-value service. */
  readonly rulesFresh: boolean;
  /** Time of the last confirmation, in milliseconds since the Unix epoch. */
  readonly rulesConfirmedAtMs: number | undefined;
}

/** Runs the SWIM membership protocol of this daemon and replicates values between daemons. */
export class MembershipService implements Membership, StateSource {
  readonly name = 'membership';
  readonly loops: readonly Loop[];
  readonly swim: SwimMembership;
  readonly store: ReplicatedValueStore;
  readonly relayRole: RelayRole;
  readonly broadcaster: ValueBroadcaster;
  private readonly ruleWatch: RuleWatcher | undefined;
  private readonly seedPoller: SeedListPoller;
  private readonly client: MembershipClient;
  private lastSeenChanges = -1;
  private nextReportAtMs = 0;

  /** `identity` carries the addresses that the daemon is bound to. */
  constructor(
    identity: DaemonIdentity,
    private readonly deps: MembershipServiceDependencies,
  ) {
    const { clock, keysOfEveryDigest, peer, random, rules, seeds } = deps;
    this.store = new ReplicatedValueStore(keysOfEveryDigest);
    this.swim = new SwimMembership(identity, random, clock.nowMs());
    this.relayRole = new RelayRole(identity);
    this.broadcaster = new ValueBroadcaster(
      this.store,
      this.swim,
      peer,
      clock,
      random,
    );
    this.ruleWatch = rules && this.createRuleWatch(rules);
    this.seedPoller = new SeedListPoller(seeds, this.swim, clock);
    this.store.onValue(value => {
      if (value.key === RULES_KEY) rules?.store.apply(value);
    });
    const clientDeps = {
      ...deps,
      swim: this.swim,
      relayRole: this.relayRole,
      store: this.store,
      broadcaster: this.broadcaster,
    };
    this.client = new MembershipClient(clientDeps);
    registerMembershipMethods(deps.registry, clientDeps, this.client);
    this.loops = this.createLoops();
  }

  live(): readonly DaemonIdentity[] {
    return this.swim.live();
  }

  peersOutside(dataCentre: DataCentre): readonly DaemonIdentity[] {
    return this.swim.peersOutside(dataCentre);
  }

  /** Broadcasts a value to every daemon. Resolves once the direct recipients have answered. */
  publish(value: ReplicatedValue): Promise<void> {
    return this.broadcaster.publish(value);
  }

  /** Broadcasts a value that other daemons read by themselves too, unless one of them does. */
  publishShared(value: ReplicatedValue): Promise<void> {
    return this.broadcaster.publishShared(value);
  }

  /** Registers a listener for newer versions of any value. */
  onValue(listener: ValueListener): void {
    this.store.onValue(listener);
  }

  /** Loads the newest rules from the key-value service and from peers, whichever answer. */
  async loadInitialState(): Promise<void> {
    await Promise.allSettled([
      this.ruleWatch?.readRules(),
      this.joinListedPeers(),
    ]);
  }

  /** Notifies peers that this daemon is stopping. */
  leave(): Promise<void> {
    return this.client.announceLeave();
  }

  status(): MembershipStatus {
    return {
      livePeers: this.swim.live().length,
      relay: this.relayRole.isActing(),
      rulesFresh: this.store.isFresh(this.deps.clock.nowMs()),
      rulesConfirmedAtMs: this.store.confirmedAtMs(),
    };
  }

  /** Returns the state for the operators' dump. */
  dumpState(): unknown {
    return {
      ...this.status(),
      incarnation: this.swim.incarnation,
      live: this.swim.live(),
      versions: this.store.versions(),
      deathsDecided: this.swim.deathsDecided,
      staleReceived: this.broadcaster.staleReceived,
    };
  }

  private createRuleWatch({ keyValue }: ReplicatedRules): RuleWatcher {
    return new RuleWatcher({
      ...this.deps,
      keyValue,
      store: this.store,
      isRelayActive: () => this.relayRole.isActing(),
      publish: value => this.broadcaster.publishFromRelay(value),
    });
  }

  /** Joins through the daemon at an address: fetches the members and the values that it knows. */
  joinThrough(peerAddress: Address): Promise<void> {
    return this.client.join(peerAddress);
  }

  private async joinListedPeers(): Promise<void> {
    await this.seedPoller.refresh();
    const targets = this.swim.sampleProbeTargets(INITIAL_JOIN_TARGETS);
    await Promise.allSettled(
      targets.map(target => this.client.join(target.peerAddress)),
    );
  }

  private createLoops(): readonly Loop[] {
    const { clock, log } = this.deps;
    const membership = LogComponent.Membership;
    const loop = (
      name: string,
      part: LogComponent,
      nextAtMs: (nowMs: number) => number,
      step: () => Promise<void>,
    ) => new Loop({ name, part, nextAtMs, step }, clock, log);
    const { ruleWatch } = this;
    const ruleLoops =
      ruleWatch === undefined
        ? []
        : [
            loop(
              'rule watch',
              LogComponent.Rules,
              nowMs => ruleWatch.nextAtMs(nowMs),
              () => ruleWatch.step(),
            ),
          ];
    return [
      ...ruleLoops,
      loop(
        'membership',
        membership,
        nowMs => nowMs + TICK_MS,
        () => this.step(),
      ),
      loop(
        'member listing',
        membership,
        () => this.seedPoller.nextAtMs(),
        () => this.seedPoller.refresh(),
      ),
    ];
  }

  /** Runs one round of the protocol; messages are sent without waiting for their responses. */
  private step(): Promise<void> {
    const nowMs = this.deps.clock.nowMs();
    this.publishAcceptedRules();
    for (const action of this.swim.tick(nowMs)) this.client.execute(action);
    this.updateRelayRole();
    for (const { target, deadlineAtMs } of this.relayRole.tick(nowMs)) {
      void this.client.sendHeartbeat(target, deadlineAtMs);
    }
    this.reportMetrics(nowMs);
    return Promise.resolve();
  }

  private updateRelayRole(): void {
    if (this.ruleWatch === undefined) return;
    const { changeCount, isInRelayCell } = this.swim;
    if (changeCount === this.lastSeenChanges) return;
    this.lastSeenChanges = changeCount;
    this.relayRole.setCandidates(this.swim.cellPeers(), isInRelayCell);
  }

  /** Broadcasts a revision that an operator's edit has applied to the local rules. */
  private publishAcceptedRules(): void {
    const entry = this.deps.rules?.store.entry;
    if (entry === undefined) return;
    if (entry.version <= this.store.version(RULES_KEY)) return;
    void this.publish(entry);
  }

  private reportMetrics(nowMs: number): void {
    if (nowMs < this.nextReportAtMs) return;
    this.nextReportAtMs = nowMs + METRICS_INTERVAL_MS;
    const { metrics } = this.deps;
    const status = this.status();
    metrics.gauge('membership.livePeers', status.livePeers);
    const { rules } = this.deps;
    if (rules === undefined) return;
    metrics.gauge('rules.revision', rules.store.revision);
    metrics.gauge('rules.fresh', status.rulesFresh ? 1 : 0);
  }
}
