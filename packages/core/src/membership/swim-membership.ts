import type { DaemonIdentity, DataCentre, Random } from '../ports/index.js';
import type {
  IndirectProbeAction,
  MembershipAction,
  ProbeAction,
} from './actions.js';
import { MembershipActionKind } from './actions.js';
import { CellTracker } from './cell-tracker.js';
import { LocalMember } from './local-member.js';
import type { Member } from './member-table.js';
import { isLive, MemberTable } from './member-table.js';
import type { Membership, MemberUpdate } from './membership.js';
import { MemberState } from './membership.js';
import { MAX_ROSTER_MEMBERS } from './messages.js';
import { ProbeOrder, sampleRandom } from './probe-order.js';
import { UpdateQueue } from './update-queue.js';

const PROBE_INTERVAL_MS = 1_000;
const PROBE_TIMEOUT_MS = 400;
const INDIRECT_PROBE_TIMEOUT_MS = 800;
/** Number of random peers asked for an indirect probe, and of peers notified of a shutdown. */
const PEER_SAMPLE_SIZE = 3;
const JOIN_INTERVAL_MS = 500;
const JOIN_TIMEOUT_MS = 1_000;
const FIRST_JOIN_TARGETS = 3;
const REJOIN_INTERVAL_MS = 4_000;
const MAX_JOIN_ANSWERS = 6;
const SUSPICION_TIMEOUT_MS = 3_000;
/** Time by which a suspicion is extended for the answer to the final probe. */
const FINAL_PROBE_WINDOW_MS = 500;
/**
 * Upper bound of the local health score, by which a daemon whose own probes fail
 * lengthens its suspicion timeout.
 */
const MAX_LOCAL_HEALTH_SCORE = 4;
/** Gap between two ticks above which this process is taken to have been paused. */
const PAUSE_THRESHOLD_MS = 2_000;

/**
 * Failure detection and membership dissemination by random probes, indirect
 * probes and suspicion.
 * Sources: SWIM (Das, Gupta and Motivala, 2002); Lifeguard (Dadgar, Phillips
 * and Currey, 2017) for the longer suspicion timeout of a daemon that is itself slow.
 */
export class SwimMembership implements Membership {
  /** Number of suspects that this daemon itself has declared dead. */
  deathsDecided = 0;
  private readonly table: MemberTable;
  private readonly updateQueue = new UpdateQueue();
  private readonly cells: CellTracker;
  private nextProbeAtMs: number;
  private nextJoinAtMs: number;
  private joinAnswers = 0;
  private readonly probeOrder = new ProbeOrder();
  /** Ids of suspects to which the final probe was sent. */
  private readonly finalProbes = new Set<string>();
  private lastTickAtMs: number;
  /** Lifeguard's local health score: 0 while own probes succeed, higher the more of them fail. */
  private localHealthScore = 0;
  private readonly localMember: LocalMember;

  constructor(
    readonly self: DaemonIdentity,
    private readonly random: Random,
    nowMs: number,
  ) {
    this.table = new MemberTable(self.id);
    this.cells = new CellTracker(self, this.table);
    this.localMember = new LocalMember(self, nowMs);
    this.lastTickAtMs = nowMs;
    this.nextJoinAtMs = nowMs;
    this.nextProbeAtMs = nowMs + random.nextInteger(PROBE_INTERVAL_MS);
  }

  get incarnation(): number {
    return this.localMember.incarnation;
  }

  live(): readonly DaemonIdentity[] {
    return this.cells
      .probeTargets()
      .filter(isLive)
      .map(member => member.identity);
  }

  peersOutside(dataCentre: DataCentre): readonly DaemonIdentity[] {
    return this.live().filter(peer => peer.dataCentre !== dataCentre);
  }

  /** Returns a random sample of the probe targets, both live and only listed. */
  sampleProbeTargets(count: number): readonly DaemonIdentity[] {
    const targets = this.cells.probeTargets().map(member => member.identity);
    return sampleRandom(this.random, targets, count);
  }

  /** Returns the live members of the own cell that are in the own data centre. */
  cellPeers(): readonly DaemonIdentity[] {
    const { dataCentre } = this.self;
    return this.cells
      .ownCell()
      .filter(isLive)
      .map(member => member.identity)
      .filter(peer => peer.dataCentre === dataCentre);
  }

  /** Returns the known live daemons outside the own cell or the own data centre. */
  peersOutsideCell(): readonly DaemonIdentity[] {
    const inside = new Set(this.cellPeers().map(peer => peer.id));
    return this.live().filter(peer => !inside.has(peer.id));
  }

  /** Counter that increases whenever the live daemons or the cells may have changed. */
  get changeCount(): number {
    return this.cells.changeCount;
  }

  /** Whether the data centre's relays are chosen from the own cell. */
  get isInRelayCell(): boolean {
    return this.cells.isRelayCell;
  }

  stateOf(id: string): MemberState | undefined {
    return this.table.get(id)?.state;
  }

  /** Applies the platform's list of daemons, which only provides further probe targets. */
  applyListing(daemons: readonly DaemonIdentity[], nowMs: number): void {
    this.table.applyListing(daemons);
    this.cells.refresh(nowMs);
  }

  /** Returns the messages to send now. Called a few times a second. */
  tick(nowMs: number): readonly MembershipAction[] {
    this.extendSuspicionsAfterPause(nowMs);
    const finalProbes = this.expireSuspicions(nowMs);
    this.table.purgeEnded(nowMs);
    this.cells.refreshIfDue(nowMs);
    return [
      ...finalProbes,
      ...this.joinActions(nowMs),
      ...this.probeActions(nowMs),
    ];
  }

  /**
   * Returns the updates for an outgoing message. A suspected or dead receiver is
   * sent its own state first, so that it can refute it.
   */
  updatesFor(receiverId: string): MemberUpdate[] {
    const memberCount = this.cells.ownCell().length;
    const receiver = this.table.get(receiverId);
    const isSuspectedOrDead =
      receiver !== undefined &&
      (receiver.state === MemberState.Suspect ||
        receiver.state === MemberState.Dead);
    return this.updateQueue.nextUpdates(
      memberCount,
      isSuspectedOrDead ? updateOf(receiver) : undefined,
    );
  }

  /** Handles a message, which shows that its sender is alive, and the updates in it. */
  handleMessage(
    from: DaemonIdentity,
    incarnation: number,
    updates: readonly MemberUpdate[],
    nowMs: number,
  ): void {
    const senderUpdate = {
      id: from.id,
      state: MemberState.Alive,
      incarnation,
      identity: from,
    };
    for (const update of [senderUpdate, ...updates])
      this.applyUpdate(update, nowMs);
  }

  /** Handles the answer to a direct probe. */
  handleProbeAnswer(
    target: DaemonIdentity,
    incarnation: number,
    updates: readonly MemberUpdate[],
    nowMs: number,
  ): void {
    this.localHealthScore = Math.max(0, this.localHealthScore - 1);
    this.handleMessage(target, incarnation, updates, nowMs);
  }

  /** Applies the members from the answer to a join request. */
  applyRoster(roster: readonly MemberUpdate[], nowMs: number): void {
    this.joinAnswers += 1;
    for (const update of roster) this.applyUpdate(update, nowMs);
    this.cells.refresh(nowMs);
  }

  /** Returns the members to send to a joining daemon. */
  roster(): MemberUpdate[] {
    const members = this.cells.probeTargets().filter(isLive).map(updateOf);
    return [this.localMember.aliveUpdate(), ...members].slice(
      0,
      MAX_ROSTER_MEMBERS,
    );
  }

  /**
   * Handles a failed direct probe. Returns an indirect probe to run before the
   * target is suspected; without helpers the target is suspected at once.
   */
  handleProbeFailure(
    target: DaemonIdentity,
    nowMs: number,
  ): IndirectProbeAction | undefined {
    this.localHealthScore = Math.min(
      MAX_LOCAL_HEALTH_SCORE,
      this.localHealthScore + 1,
    );
    const member = this.table.get(target.id);
    if (member === undefined || !isLive(member)) return undefined;
    const helpers = sampleRandom(
      this.random,
      this.live().filter(peer => peer.id !== target.id),
      PEER_SAMPLE_SIZE,
    );
    if (helpers.length === 0) {
      this.suspect(target, nowMs);
      return undefined;
    }
    return {
      kind: MembershipActionKind.IndirectProbe,
      target,
      helpers,
      deadlineAtMs: nowMs + INDIRECT_PROBE_TIMEOUT_MS,
    };
  }

  /** Marks the target as suspect, after the indirect probe has failed too. */
  suspect(target: DaemonIdentity, nowMs: number): void {
    const member = this.table.get(target.id);
    if (member?.state !== MemberState.Alive) return;
    const { incarnation } = member;
    const state = MemberState.Suspect;
    this.applyUpdate({ id: target.id, state, incarnation }, nowMs);
  }

  /** Returns the update that announces this daemon's shutdown and the peers to send it to. */
  leave(): { update: MemberUpdate; peers: readonly DaemonIdentity[] } {
    const update = this.localMember.leave();
    return {
      update,
      peers: sampleRandom(this.random, this.live(), PEER_SAMPLE_SIZE),
    };
  }

  private applyUpdate(update: MemberUpdate, nowMs: number): void {
    if (update.id === this.self.id) {
      if (this.localMember.refute(update))
        this.updateQueue.add(this.localMember.aliveUpdate());
      return;
    }
    if (!this.cells.isRelevant(update)) return;
    const suspectUntilMs =
      nowMs + SUSPICION_TIMEOUT_MS * (1 + this.localHealthScore / 2);
    if (!this.table.apply(update, suspectUntilMs, nowMs)) return;
    this.finalProbes.delete(update.id);
    const member = this.table.get(update.id);
    if (member !== undefined) this.updateQueue.add(updateOf(member));
    this.cells.handleTableChange(nowMs);
  }

  /**
   * Extends all suspicions after a pause of this process, as suspects could not be
   * heard during the pause.
   */
  private extendSuspicionsAfterPause(nowMs: number): void {
    if (nowMs - this.lastTickAtMs > PAUSE_THRESHOLD_MS) {
      this.table.extendSuspicions(nowMs + SUSPICION_TIMEOUT_MS);
    }
    this.lastTickAtMs = nowMs;
  }

  /**
   * Sends a final direct probe to each suspect whose deadline has passed, and
   * declares it dead when the extended deadline passes too.
   */
  private expireSuspicions(nowMs: number): readonly MembershipAction[] {
    const actions: MembershipAction[] = [];
    for (const { identity, incarnation } of this.table.expiredSuspects(nowMs)) {
      const { id } = identity;
      if (
        !this.cells.isRelevant({ id, state: MemberState.Dead, incarnation })
      ) {
        // The daemons of its cell decide; here it is known by the listing alone.
        this.table.unlearn(id);
        this.finalProbes.delete(id);
        continue;
      }
      if (this.finalProbes.has(id)) {
        this.deathsDecided += 1;
        this.applyUpdate({ id, state: MemberState.Dead, incarnation }, nowMs);
        continue;
      }
      this.finalProbes.add(id);
      this.table.extendSuspicion(id, nowMs + FINAL_PROBE_WINDOW_MS);
      actions.push(this.createProbe(identity, nowMs));
    }
    return actions;
  }

  /**
   * Returns join requests until one daemon has answered, then a bounded number of
   * further ones while there are probe targets that are not live.
   */
  private joinActions(nowMs: number): readonly MembershipAction[] {
    if (this.joinAnswers >= MAX_JOIN_ANSWERS || nowMs < this.nextJoinAtMs)
      return [];
    const isFirst = this.joinAnswers === 0;
    this.nextJoinAtMs =
      nowMs + (isFirst ? JOIN_INTERVAL_MS : REJOIN_INTERVAL_MS);
    const isComplete = this.cells
      .probeTargets()
      .every(member => isLive(member));
    if (!isFirst && isComplete) return [];
    return this.sampleProbeTargets(isFirst ? FIRST_JOIN_TARGETS : 1).map(
      target => ({
        kind: MembershipActionKind.Join,
        target,
        deadlineAtMs: nowMs + JOIN_TIMEOUT_MS,
      }),
    );
  }

  private probeActions(nowMs: number): readonly MembershipAction[] {
    if (nowMs < this.nextProbeAtMs) return [];
    this.nextProbeAtMs = nowMs + PROBE_INTERVAL_MS;
    const id = this.probeOrder.next(
      this.cells.probeTargets().map(idOf),
      this.random,
    );
    const target = id === undefined ? undefined : this.table.get(id);
    return target === undefined
      ? []
      : [this.createProbe(target.identity, nowMs)];
  }

  private createProbe(target: DaemonIdentity, nowMs: number): ProbeAction {
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
