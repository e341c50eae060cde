import type { DaemonIdentity } from '../ports/index.js';
import type { MemberUpdate } from './membership.js';
import { MemberState } from './membership.js';
import { hash32, rendezvousScore } from './rendezvous.js';

/** Time for which an ended member is retained, so that delayed updates do not bring it back. */
const ENDED_RETENTION_MS = 60_000;

/** State of one member as known by this daemon. */
export interface Member {
  readonly identity: DaemonIdentity;
  readonly state: MemberState;
  readonly incarnation: number;
  /**
   * Deadline by which a suspect has to answer; it is then probed once more
   * before it is declared dead.
   */
  readonly suspectUntilMs: number;
  /** Time at which an ended member is removed from the table. */
  readonly purgeAtMs: number;
  /** Hash of the id that assigns the member to a cell. */
  readonly cellHash: number;
  /** Rendezvous score by which the observing daemon chooses its contacts in other cells. */
  readonly contactScore: number;
}

const STATES_BY_PRECEDENCE: readonly MemberState[] = [
  MemberState.Listed,
  MemberState.Alive,
  MemberState.Suspect,
  MemberState.Dead,
  MemberState.Left,
];

/**
 * Table of members by id. An update with a higher incarnation takes precedence;
 * at equal incarnations the later state of `MemberState` does.
 * Source: SWIM (Das, Gupta and Motivala, 2002).
 */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  private readonly suspects = new Set<string>();
  private readonly ended = new Set<string>();
  /**
   * Increases whenever a member is added, becomes live, ends, rejoins or is
   * removed from the listing.
   */
  private compositionChanges = 0;

  constructor(private readonly selfId: string) {}

  /** Counter that increases with changes to which members are listed, live and ended. */
  get compositionVersion(): number {
    return this.compositionChanges;
  }

  get(id: string): Member | undefined {
    return this.members.get(id);
  }

  all(): IterableIterator<Member> {
    return this.members.values();
  }

  /** Replaces the members that are known only from the platform's listing. */
  applyListing(daemons: readonly DaemonIdentity[]): void {
    const listed = new Set(daemons.map(daemon => daemon.id));
    for (const [id, member] of this.members) {
      if (member.state !== MemberState.Listed || listed.has(id)) continue;
      this.members.delete(id);
      this.compositionChanges += 1;
    }
    for (const identity of daemons) {
      if (identity.id === this.selfId || this.members.has(identity.id))
        continue;
      this.store(identity, MemberState.Listed, 0, 0);
    }
  }

  /**
   * Applies an update. Returns false when it does not supersede the known state
   * or the identity is unknown.
   */
  apply(update: MemberUpdate, suspectUntilMs: number, nowMs: number): boolean {
    const member = this.members.get(update.id);
    const identity = update.identity ?? member?.identity;
    if (identity === undefined || !supersedes(member, update)) return false;
    const deadlineMs =
      update.state === MemberState.Suspect
        ? suspectUntilMs
        : nowMs + ENDED_RETENTION_MS;
    this.store(identity, update.state, update.incarnation, deadlineMs);
    return true;
  }

  /** Extends the deadlines of all suspects to at least `untilMs`. */
  extendSuspicions(untilMs: number): void {
    for (const id of this.suspects) this.extendSuspicion(id, untilMs);
  }

  extendSuspicion(id: string, untilMs: number): void {
    const member = this.members.get(id);
    if (member?.state !== MemberState.Suspect) return;
    const suspectUntilMs = Math.max(member.suspectUntilMs, untilMs);
    this.members.set(id, { ...member, suspectUntilMs });
  }

  /** Forgets what was heard of a member that is no longer tracked, so that it is known by the listing alone. */
  unlearn(id: string): void {
    const member = this.members.get(id);
    if (member === undefined) return;
    this.store(member.identity, MemberState.Listed, 0, 0);
  }

  /** Returns the suspects whose deadline has passed. */
  expiredSuspects(nowMs: number): readonly Member[] {
    return this.membersWithIds(this.suspects).filter(
      member => member.suspectUntilMs <= nowMs,
    );
  }

  purgeEnded(nowMs: number): void {
    for (const { purgeAtMs, identity } of this.membersWithIds(this.ended)) {
      if (purgeAtMs > nowMs) continue;
      this.members.delete(identity.id);
      this.ended.delete(identity.id);
    }
  }

  private membersWithIds(ids: ReadonlySet<string>): readonly Member[] {
    return [...ids].flatMap(id => this.members.get(id) ?? []);
  }

  private store(
    identity: DaemonIdentity,
    state: MemberState,
    incarnation: number,
    deadlineMs: number,
  ): void {
    const previous = this.members.get(identity.id);
    const { id } = identity;
    const member: Member = {
      identity,
      state,
      incarnation,
      suspectUntilMs: deadlineMs,
      purgeAtMs: deadlineMs,
      cellHash: previous?.cellHash ?? hash32(id),
      contactScore: previous?.contactScore ?? rendezvousScore(this.selfId, id),
    };
    this.members.set(id, member);
    this.suspects.delete(id);
    this.ended.delete(id);
    if (state === MemberState.Suspect) this.suspects.add(id);
    if (hasEnded(member)) this.ended.add(id);
    const isUnchanged =
      previous !== undefined &&
      hasEnded(previous) === hasEnded(member) &&
      isLive(previous) === isLive(member);
    if (!isUnchanged) this.compositionChanges += 1;
  }
}

/** Returns whether the member is alive or suspected. Listed members are not live. */
export function isLive(member: Member): boolean {
  return (
    member.state === MemberState.Alive || member.state === MemberState.Suspect
  );
}

/** Returns whether the member is dead or has left. */
export function hasEnded(member: Member): boolean {
  return member.state === MemberState.Dead || member.state === MemberState.Left;
}

function supersedes(member: Member | undefined, update: MemberUpdate): boolean {
  if (update.state === MemberState.Listed) return false;
  if (member === undefined) return !isEndedState(update.state);
  if (member.state === MemberState.Listed) return true;
  if (update.incarnation !== member.incarnation) {
    return update.incarnation > member.incarnation;
  }
  return precedenceOf(update.state) > precedenceOf(member.state);
}

function isEndedState(state: MemberState): boolean {
  return state === MemberState.Dead || state === MemberState.Left;
}

function precedenceOf(state: MemberState): number {
  return STATES_BY_PRECEDENCE.indexOf(state);
}
