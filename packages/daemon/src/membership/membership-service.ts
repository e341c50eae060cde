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
  KeyValue,
  Log,
  Metrics,
  Peer,
  PeerRegistry,
  Random,
  StateSource,
} from '@skylarkreach/core/ports';
import { LogPart } from '@skylarkreach/core/ports';
import type { RuleStore } from '@skylarkreach/core/rules';
import { RULES_KEY } from '@skylarkreach/core/rules';

import { Loop, RuleWatch } from '../loops/index.js';
import type { SeedSource } from './listing-seed.js';
import { ListingSeed } from './listing-seed.js';
import { MembershipCalls } from './membership-calls.js';
import { addMembershipMethods } from './membership-methods.js';
import { Spreader } from './spreader.js';

const TICK_MS = 250;
const REPORT_INTERVAL_MS = 5_000;
const PRIME_TARGETS = 3;

export interface MembershipServiceParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly peer: Peer;
  readonly registry: PeerRegistry;
  readonly seeds: SeedSource;
  /** Rules to follow and spread; undefined where the daemon has none. */
  readonly rules?: FollowedRules;
}

/** The rule file in the key-value service and its copy in this process. */
export interface FollowedRules {
  readonly keyValue: KeyValue;
  readonly store: RuleStore;
}

/** What the operators' status shows of membership and spreading. */
export interface MembershipStatus {
  readonly livePeers: number;
  readonly relay: boolean;
  /** Whether the rules were confirmed lately against the key-value service. */
  readonly rulesFresh: boolean;
  /** Time of the last confirmation, in milliseconds since the Unix epoch. */
  readonly rulesConfirmedAtMs: number | undefined;
}

/** Carries out what the membership decides, and spreads values between daemons. */
export class MembershipService implements Membership, StateSource {
  readonly name = 'membership';
  readonly loops: readonly Loop[];
  readonly swim: SwimMembership;
  readonly store = new ReplicatedValueStore();
  readonly relayRole: RelayRole;
  readonly spreader: Spreader;
  private readonly watch: RuleWatch | undefined;
  private readonly seed: ListingSeed;
  private readonly calls: MembershipCalls;
  private relayChanges = -1;
  private nextReportAtMs = 0;

  /** `identity` names the daemon by the addresses that it is bound to. */
  constructor(
    identity: DaemonIdentity,
    private readonly parts: MembershipServiceParts,
  ) {
    const { clock, peer, random, rules, seeds } = parts;
    this.swim = new SwimMembership(identity, random, clock.nowMs());
    this.relayRole = new RelayRole(identity);
    this.spreader = new Spreader(this.store, this.swim, peer, clock, random);
    this.watch = rules && this.createWatch(rules);
    this.seed = new ListingSeed(seeds, this.swim, clock);
    this.store.onValue(value => {
      if (value.key === RULES_KEY) rules?.store.apply(value);
    });
    const callParts = {
      ...parts,
      swim: this.swim,
      relayRole: this.relayRole,
      store: this.store,
      spreader: this.spreader,
    };
    this.calls = new MembershipCalls(callParts);
    addMembershipMethods(parts.registry, callParts, this.calls);
    this.loops = this.createLoops();
  }

  live(): readonly DaemonIdentity[] {
    return this.swim.live();
  }

  peersOutside(dataCentre: DataCentre): readonly DaemonIdentity[] {
    return this.swim.peersOutside(dataCentre);
  }

  /** Spreads a value to every daemon. Resolves once those told from here have answered. */
  publish(value: ReplicatedValue): Promise<void> {
    return this.spreader.publish(value);
  }

  /** Calls the listener with each newer version of any value. */
  onValue(listener: ValueListener): void {
    this.store.onValue(listener);
  }

  /** Takes the newest rules from the key-value service and from peers, whichever answers. */
  async prime(): Promise<void> {
    await Promise.allSettled([this.watch?.readNow(), this.primeFromPeers()]);
  }

  /** Tells peers that this daemon stops. */
  leave(): Promise<void> {
    return this.calls.leave();
  }

  status(): MembershipStatus {
    return {
      livePeers: this.swim.live().length,
      relay: this.relayRole.isActing(),
      rulesFresh: this.store.isFresh(this.parts.clock.nowMs()),
      rulesConfirmedAtMs: this.store.confirmedAtMs(),
    };
  }

  /** State for the operators' dump. */
  dumpState(): unknown {
    return {
      ...this.status(),
      incarnation: this.swim.incarnation,
      live: this.swim.live(),
      versions: this.store.versions(),
      deathsDecided: this.swim.deathsDecided,
      staleReceived: this.spreader.staleReceived,
    };
  }

  private createWatch({ keyValue }: FollowedRules): RuleWatch {
    return new RuleWatch({
      ...this.parts,
      keyValue,
      store: this.store,
      isActing: () => this.relayRole.isActing(),
      publish: value => this.spreader.publishWatched(value),
    });
  }

  /** Asks the daemon at an address for the members and values that it knows. */
  joinAt(peerAddress: Address): Promise<void> {
    return this.calls.join(peerAddress);
  }

  private async primeFromPeers(): Promise<void> {
    await this.seed.readNow();
    const targets = this.swim.sampleProbeTargets(PRIME_TARGETS);
    await Promise.allSettled(
      targets.map(target => this.calls.join(target.peerAddress)),
    );
  }

  private createLoops(): readonly Loop[] {
    const { clock, log } = this.parts;
    const membership = LogPart.Membership;
    const loop = (
      name: string,
      part: LogPart,
      nextAtMs: (nowMs: number) => number,
      step: () => Promise<void>,
    ) => new Loop({ name, part, nextAtMs, step }, clock, log);
    const { watch } = this;
    const ruleLoops =
      watch === undefined
        ? []
        : [
            loop(
              'rule watch',
              LogPart.Rules,
              nowMs => watch.nextAtMs(nowMs),
              () => watch.step(),
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
        () => this.seed.nextAtMs(),
        () => this.seed.readNow(),
      ),
    ];
  }

  /** One round of decisions; what they ask for is sent without waiting. */
  private step(): Promise<void> {
    const nowMs = this.parts.clock.nowMs();
    this.publishAcceptedRules();
    for (const action of this.swim.tick(nowMs)) this.calls.run(action);
    this.updateRelayRole();
    for (const { target, deadlineAtMs } of this.relayRole.tick(nowMs)) {
      void this.calls.sendHeartbeat(target, deadlineAtMs);
    }
    this.reportMetrics(nowMs);
    return Promise.resolve();
  }

  private updateRelayRole(): void {
    if (this.watch === undefined) return;
    const { changeCount: changes, isInRelayCell: holdsRelays } = this.swim;
    if (changes === this.relayChanges) return;
    this.relayChanges = changes;
    this.relayRole.setCandidates(this.swim.cellPeers(), holdsRelays);
  }

  /** Spreads a revision that an operator's call put into the rules of this process. */
  private publishAcceptedRules(): void {
    const entry = this.parts.rules?.store.entry;
    if (entry === undefined) return;
    if (entry.version <= this.store.version(RULES_KEY)) return;
    void this.publish(entry);
  }

  private reportMetrics(nowMs: number): void {
    if (nowMs < this.nextReportAtMs) return;
    this.nextReportAtMs = nowMs + REPORT_INTERVAL_MS;
    const { metrics } = this.parts;
    const status = this.status();
    metrics.gauge('membership.livePeers', status.livePeers);
    const { rules } = this.parts;
    if (rules === undefined) return;
    metrics.gauge('rules.revision', rules.store.revision);
    metrics.gauge('rules.fresh', status.rulesFresh ? 1 : 0);
  }
}
