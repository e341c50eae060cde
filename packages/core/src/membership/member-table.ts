import type { DaemonIdentity } from '../ports/index.js';
import type { MemberUpdate } from './membership.js';
import { MemberState } from './membership.js';
import { hash32, rendezvousScore } from './rendezvous.js';

/** Time for which a member that has ended is remembered, against news that arrives late. */
const FORGET_AFTER_MS = 60_000;

/** What is known of one member. */
export interface Member {
  readonly identity: DaemonIdentity;
  readonly state: MemberState;
  readonly incarnation: number;
  /** A suspect that has not answered by then is dead. */
  readonly suspectUntilMs: number;
  /** A member that has ended is forgotten then. */
  readonly forgetAtMs: number;
  /** Hash that places the member in a cell. */
  readonly cellHash: number;
  /** Score by which the observing daemon chooses whom to know elsewhere. */
  readonly contactScore: number;
}

const PRECEDENCE: readonly MemberState[] = [
  MemberState.Listed,
  MemberState.Alive,
  MemberState.Suspect,
  MemberState.Dead,
  MemberState.Left,
];

/**
 * Members by id. A higher incarnation wins; at one incarnation the later state
 * wins. Source: SWIM (Das, Gupta and Motivala, 2002).
 */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  private readonly suspects = new Set<string>();
  private readonly ended = new Set<string>();
  /** Rises whenever a member is added, ends or comes back. */
  private shape = 0;

  constructor(private readonly selfId: string) {}

  /** Number that changes with the set of members that have not ended. */
  get shapeVersion(): number {
    return this.shape;
  }

  get(id: string): Member | undefined {
    return this.members.get(id);
  }

  all(): IterableIterator<Member> {
    return this.members.values();
  }

  /** Replaces the members that only the list names. */
  applyListing(daemons: readonly DaemonIdentity[]): void {
    const listed = new Set(daemons.map(daemon => daemon.id));
    for (const [id, member] of this.members) {
      if (member.state !== MemberState.Listed || listed.has(id)) continue;
      this.members.delete(id);
      this.shape += 1;
    }
    for (const identity of daemons) {
      if (identity.id === this.selfId || this.members.has(identity.id))
        continue;
      this.store(identity, MemberState.Listed, 0, 0);
    }
  }

  /** Applies news; true where it changed what is known. */
  apply(update: MemberUpdate, suspectUntilMs: number, nowMs: number): boolean {
    const member = this.members.get(update.id);
    const identity = update.identity ?? member?.identity;
    if (identity === undefined || !isNewer(member, update)) return false;
    const deadlineMs =
      update.state === MemberState.Suspect
        ? suspectUntilMs
        : nowMs + FORGET_AFTER_MS;
    this.store(identity, update.state, update.incarnation, deadlineMs);
    return true;
  }

  /** Moves the deadlines of all suspects to at least `untilMs`. */
  extendSuspicions(untilMs: number): void {
    for (const id of this.suspects) this.extendSuspicion(id, untilMs);
  }

  extendSuspicion(id: string, untilMs: number): void {
    const member = this.members.get(id);
    if (member?.state !== MemberState.Suspect) return;
    const suspectUntilMs = Math.max(member.suspectUntilMs, untilMs);
    this.members.set(id, { ...member, suspectUntilMs });
  }

  /** Suspects whose deadline has passed. */
  overdueSuspects(nowMs: number): readonly Member[] {
    return this.membersOf(this.suspects).filter(
      member => member.suspectUntilMs <= nowMs,
    );
  }

  forgetEnded(nowMs: number): void {
    for (const { forgetAtMs, identity } of this.membersOf(this.ended)) {
      if (forgetAtMs > nowMs) continue;
      this.members.delete(identity.id);
      this.ended.delete(identity.id);
    }
  }

  private membersOf(ids: ReadonlySet<string>): readonly Member[] {
    return [...ids].flatMap(id => this.members.get(id) ?? []);
  }

  private store(
    identity: DaemonIdentity,
    state: MemberState,
    incarnation: number,
    deadlineMs: number,
  ): void {
    const before = this.members.get(identity.id);
    const { id } = identity;
    const member: Member = {
      identity,
      state,
      incarnation,
      suspectUntilMs: deadlineMs,
      forgetAtMs: deadlineMs,
      cellHash: before?.cellHash ?? hash32(id),
      contactScore: before?.contactScore ?? rendezvousScore(this.selfId, id),
    };
    this.members.set(id, member);
    this.suspects.delete(id);
    this.ended.delete(id);
    if (state === MemberState.Suspect) this.suspects.add(id);
    if (hasEnded(member)) this.ended.add(id);
    const isSame =
      before !== undefined &&
      hasEnded(before) === hasEnded(member) &&
      isLive(before) === isLive(member);
    if (!isSame) this.shape += 1;
  }
}

/** Whether the member was heard of and has not ended. */
export function isLive(member: Member): boolean {
  return (
    member.state === MemberState.Alive || member.state === MemberState.Suspect
  );
}

export function hasEnded(member: Member): boolean {
  return member.state === MemberState.Dead || member.state === MemberState.Left;
}

function isNewer(member: Member | undefined, update: MemberUpdate): boolean {
  if (update.state === MemberState.Listed) return false;
  if (member === undefined) return !isEnding(update.state);
  if (member.state === MemberState.Listed) return true;
  if (update.incarnation !== member.incarnation) {
    return update.incarnation > member.incarnation;
  }
  return rankOf(update.state) > rankOf(member.state);
}

function isEnding(state: MemberState): boolean {
  return state === MemberState.Dead || state === MemberState.Left;
}

function rankOf(state: MemberState): number {
  return PRECEDENCE.indexOf(state);
}
