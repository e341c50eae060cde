import type { DaemonIdentity, DataCentre, Random } from '../ports/index.js';
import type {
  MembershipAction,
  ProbeAction,
  ProbeThroughAction,
} from './actions.js';
import { MembershipActionKind } from './actions.js';
import { CellTracker } from './cell-tracker.js';
import type { Member } from './member-table.js';
import { isLive, MemberTable } from './member-table.js';
import type { Membership, MemberUpdate } from './membership.js';
import { MemberState } from './membership.js';
import { MAX_ROSTER } from './messages.js';
import { OwnRecord } from './own-record.js';
import { pickRandom, ProbeOrder } from './probe-order.js';
import { UpdateQueue } from './update-queue.js';

const PROBE_INTERVAL_MS = 1_000;
const PROBE_TIMEOUT_MS = 400;
const PROBE_THROUGH_TIMEOUT_MS = 800;
const HELPERS = 3;
const JOIN_INTERVAL_MS = 500;
const JOIN_TIMEOUT_MS = 1_000;
const JOIN_TARGETS = 3;
const REJOIN_INTERVAL_MS = 4_000;
const MAX_JOINS = 6;
const SUSPICION_MS = 3_000;
/** Time that the answer to the last probe of a suspect may take. */
const LAST_CHECK_MS = 500;
/** Most steps by which a daemon whose own probes fail prolongs its suspicions. */
const MAX_SELF_DOUBT = 4;
/** A gap between two ticks that shows that this process was paused. */
const PAUSE_MS = 2_000;

/**
 * Membership by random probes, indirect probes and suspicion.
 * Sources: SWIM (Das, Gupta and Motivala, 2002); Lifeguard (Dadgar, Phillips
 * and Currey, 2017) for the longer suspicion of a daemon that is itself slow.
 */
export class SwimMembership implements Membership {
  /** Suspicions that ended in death, by this daemon's own decision. */
  deathsDecided = 0;
  private readonly table: MemberTable;
  private readonly updates = new UpdateQueue();
  private readonly cells: CellTracker;
  private nextProbeAtMs: number;
  private nextJoinAtMs: number;
  private joins = 0;
  private readonly order = new ProbeOrder();
  /** Suspects that were probed a last time. */
  private readonly lastChecks = new Set<string>();
  private lastTickAtMs: number;
  private selfDoubt = 0;
  private readonly own: OwnRecord;

  constructor(
    readonly self: DaemonIdentity,
    private readonly random: Random,
    nowMs: number,
  ) {
    this.table = new MemberTable(self.id);
    this.cells = new CellTracker(self, this.table);
    this.own = new OwnRecord(self, nowMs);
    this.lastTickAtMs = nowMs;
    this.nextJoinAtMs = nowMs;
    this.nextProbeAtMs = nowMs + random.nextInteger(PROBE_INTERVAL_MS);
  }

  get incarnation(): number {
    return this.own.incarnation;
  }

  live(): readonly DaemonIdentity[] {
    return this.cells
      .targets()
      .filter(isLive)
      .map(each => each.identity);
  }

  peersOutside(dataCentre: DataCentre): readonly DaemonIdentity[] {
    return this.live().filter(each => each.dataCentre !== dataCentre);
  }

  /** Some of the daemons to probe, whether heard of or only listed. */
  listedPeers(count: number): readonly DaemonIdentity[] {
    const known = this.cells.targets().map(each => each.identity);
    return pickRandom(this.random, known, count);
  }

  /** Live members of the own cell that are in the own data centre. */
  cellPeers(): readonly DaemonIdentity[] {
    const { dataCentre } = this.self;
    return this.cells
      .cell()
      .filter(isLive)
      .map(each => each.identity)
      .filter(each => each.dataCentre === dataCentre);
  }

  /** Live daemons known outside the own cell or the own data centre. */
  outsidePeers(): readonly DaemonIdentity[] {
    const inside = new Set(this.cellPeers().map(each => each.id));
    return this.live().filter(each => !inside.has(each.id));
  }

  /** Number that rises whenever the live daemons or the cells may differ from before. */
  get changes(): number {
    return this.cells.changes;
  }

  get holdsRelays(): boolean {
    return this.cells.holdsRelays;
  }

  stateOf(id: string): MemberState | undefined {
    return this.table.get(id)?.state;
  }

  /** Takes the platform's list. It only adds daemons to probe. */
  applyListing(daemons: readonly DaemonIdentity[], nowMs: number): void {
    this.table.applyListing(daemons);
    this.cells.refresh(nowMs);
  }

  /** Decides what to send now. Called a few times a second. */
  tick(nowMs: number): readonly MembershipAction[] {
    this.notePause(nowMs);
    const lastChecks = this.endSuspicions(nowMs);
    this.table.forgetEnded(nowMs);
    this.cells.refreshIfDue(nowMs);
    return [
      ...lastChecks,
      ...this.joinActions(nowMs),
      ...this.probeActions(nowMs),
    ];
  }

  /** News for an outgoing message; a suspect or dead receiver is told, so that it can refute. */
  updatesFor(receiverId: string): MemberUpdate[] {
    const updates = this.updates.take(this.cells.cell().length);
    const receiver = this.table.get(receiverId);
    const isAccused =
      receiver !== undefined &&
      (receiver.state === MemberState.Suspect ||
        receiver.state === MemberState.Dead);
    if (!isAccused) return updates;
    const accusation = updateOf(receiver);
    const others = updates.filter(update => update.id !== receiverId);
    return [accusation, ...others.slice(0, -1)];
  }

  /** Takes a message that shows its sender to be alive. */
  heardFrom(
    from: DaemonIdentity,
    incarnation: number,
    updates: readonly MemberUpdate[],
    nowMs: number,
  ): void {
    const alive = {
      id: from.id,
      state: MemberState.Alive,
      incarnation,
      identity: from,
    };
    for (const update of [alive, ...updates]) this.learn(update, nowMs);
  }

  /** Takes the answer to a probe or to a join. */
  answered(
    target: DaemonIdentity,
    incarnation: number,
    updates: readonly MemberUpdate[],
    nowMs: number,
  ): void {
    this.selfDoubt = Math.max(0, this.selfDoubt - 1);
    this.heardFrom(target, incarnation, updates, nowMs);
  }

  /** Takes a join's answer. */
  takeRoster(roster: readonly MemberUpdate[], nowMs: number): void {
    this.joins += 1;
    for (const update of roster) this.learn(update, nowMs);
    this.cells.refresh(nowMs);
  }

  /** Members for a daemon that joins. */
  roster(): MemberUpdate[] {
    const members = this.cells.targets().filter(isLive).map(updateOf);
    return [this.own.alive(), ...members].slice(0, MAX_ROSTER);
  }

  /** A direct probe failed: others are asked before the target is suspected. */
  probeFailed(
    target: DaemonIdentity,
    nowMs: number,
  ): ProbeThroughAction | undefined {
    this.selfDoubt = Math.min(MAX_SELF_DOUBT, this.selfDoubt + 1);
    const member = this.table.get(target.id);
    if (member === undefined || !isLive(member)) return undefined;
    const helpers = pickRandom(
      this.random,
      this.live().filter(each => each.id !== target.id),
      HELPERS,
    );
    if (helpers.length === 0) {
      this.suspect(target, nowMs);
      return undefined;
    }
    return {
      kind: MembershipActionKind.ProbeThrough,
      target,
      helpers,
      deadlineAtMs: nowMs + PROBE_THROUGH_TIMEOUT_MS,
    };
  }

  /** No helper reached the target either. */
  suspect(target: DaemonIdentity, nowMs: number): void {
    const member = this.table.get(target.id);
    if (member?.state !== MemberState.Alive) return;
    const { incarnation } = member;
    const state = MemberState.Suspect;
    this.learn({ id: target.id, state, incarnation }, nowMs);
  }

  /** News that this daemon stops, to be sent to the peers returned. */
  leave(): { update: MemberUpdate; peers: readonly DaemonIdentity[] } {
    const update = this.own.leave();
    return { update, peers: pickRandom(this.random, this.live(), HELPERS) };
  }

  private learn(update: MemberUpdate, nowMs: number): void {
    if (update.id === this.self.id) {
      if (this.own.refute(update)) this.updates.add(this.own.alive());
      return;
    }
    if (!this.cells.concerns(update)) return;
    const untilMs = nowMs + SUSPICION_MS * (1 + this.selfDoubt / 2);
    if (!this.table.apply(update, untilMs, nowMs)) return;
    this.lastChecks.delete(update.id);
    const member = this.table.get(update.id);
    if (member !== undefined) this.updates.add(updateOf(member));
    this.cells.noteChange(nowMs);
  }

  /** After a pause of this process no deadline of another may count against it. */
  private notePause(nowMs: number): void {
    if (nowMs - this.lastTickAtMs > PAUSE_MS) {
      this.table.extendSuspicions(nowMs + SUSPICION_MS);
    }
    this.lastTickAtMs = nowMs;
  }

  /** A suspect whose time is over is probed once more by this daemon itself before it counts as dead. */
  private endSuspicions(nowMs: number): readonly MembershipAction[] {
    const actions: MembershipAction[] = [];
    for (const { identity, incarnation } of this.table.overdueSuspects(nowMs)) {
      const { id } = identity;
      if (this.lastChecks.has(id)) {
        this.deathsDecided += 1;
        this.learn({ id, state: MemberState.Dead, incarnation }, nowMs);
        continue;
      }
      this.lastChecks.add(id);
      this.table.extendSuspicion(id, nowMs + LAST_CHECK_MS);
      actions.push(this.probeOf(identity, nowMs));
    }
    return actions;
  }

  /** Joins until one daemon has answered, and a few times more while listed daemons are not heard of. */
  private joinActions(nowMs: number): readonly MembershipAction[] {
    if (this.joins >= MAX_JOINS || nowMs < this.nextJoinAtMs) return [];
    const isFirst = this.joins === 0;
    this.nextJoinAtMs =
      nowMs + (isFirst ? JOIN_INTERVAL_MS : REJOIN_INTERVAL_MS);
    const isComplete = this.cells.targets().every(each => isLive(each));
    if (!isFirst && isComplete) return [];
    return this.listedPeers(isFirst ? JOIN_TARGETS : 1).map(target => ({
      kind: MembershipActionKind.Join,
      target,
      deadlineAtMs: nowMs + JOIN_TIMEOUT_MS,
    }));
  }

  private probeActions(nowMs: number): readonly MembershipAction[] {
    if (nowMs < this.nextProbeAtMs) return [];
    this.nextProbeAtMs = nowMs + PROBE_INTERVAL_MS;
    const id = this.order.next(this.cells.targets().map(idOf), this.random);
    const target = id === undefined ? undefined : this.table.get(id);
    return target === undefined ? [] : [this.probeOf(target.identity, nowMs)];
  }

  private probeOf(target: DaemonIdentity, nowMs: number): ProbeAction {
    return {
      kind: MembershipActionKind.Probe,
      target,
      updates: this.updatesFor(target.id),
      deadlineAtMs: nowMs + PROBE_TIMEOUT_MS,
    };
  }
}

function idOf(member: Member): string {
  return member.identity.id;
}

function updateOf(member: Member): MemberUpdate {
  const { identity, incarnation, state } = member;
  return {
    id: identity.id,
    state,
    incarnation,
    identity: state === MemberState.Alive ? identity : undefined,
  };
}
