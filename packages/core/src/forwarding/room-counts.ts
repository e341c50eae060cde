import type { DataCentre } from '../ports/index.js';
import type { GroupRoom } from './dispatch-gate.js';
import type { MemberRoom } from './group-room.js';
import { memberRoomOf } from './group-room.js';
import type { PoolMember } from './pool-member.js';

export interface RoomCountsDependencies {
  readonly isEvacuated: (dataCentre: DataCentre) => boolean;
  /** Returns whether the endpoint accepts new requests. */
  readonly isUsable: (member: PoolMember, nowMs: number) => boolean;
  /** Returns whether this daemon may send the endpoint a request now. */
  readonly isOpen: (member: PoolMember, nowMs: number) => boolean;
}

/**
 * Time for which a count holds where nothing is known to have changed it: reports
 * become outdated, and limits and pauses end, without notice. A request is sent by
 * an outdated count only if its endpoint passes all guards itself.
 */
const MAX_COUNT_AGE_MS = 10; // a fraction of the shortest latency objective

const NO_ROOM: GroupRoom = {
  freeSlots: 0,
  totalSlots: 0,
  openSlots: 0,
  isKnown: false,
};

/** Capacity of one group, as the sum of what each endpoint adds to it. */
class RoomCount {
  private readonly byMember = new Map<PoolMember, MemberRoom>();
  private readonly evacuated = new Map<DataCentre, boolean>();
  private freeSlots = 0;
  private totalSlots = 0;
  private openSlots = 0;
  private reports = 0;
  /** Endpoints that are to be counted again. */
  private readonly changed = new Set<PoolMember>();

  constructor(
    private readonly deps: RoomCountsDependencies,
    members: readonly PoolMember[],
    readonly countedAtMs: number,
  ) {
    for (const member of members) {
      const { dataCentre } = member.record;
      if (!this.evacuated.has(dataCentre))
        this.evacuated.set(dataCentre, deps.isEvacuated(dataCentre));
      this.count(member, countedAtMs);
    }
  }

  /** Marks an endpoint to be counted again; one that the listing no longer has is ignored. */
  markChanged(member: PoolMember): void {
    if (this.byMember.has(member)) this.changed.add(member);
  }

  private count(member: PoolMember, nowMs: number): void {
    const { isOpen, isUsable } = this.deps;
    const before = this.byMember.get(member);
    if (before !== undefined) this.add(before, -1);
    const isCounted = isUsable(member, nowMs);
    const room = memberRoomOf(
      member,
      isCounted,
      isCounted && isOpen(member, nowMs),
      nowMs,
    );
    this.byMember.set(member, room);
    this.add(room, 1);
  }

  /** Whether an endpoint may be sent a request, as far as is counted. */
  get isOpen(): boolean {
    return this.openSlots > 0;
  }

  /** Returns whether the same data centres are evacuated as when it was counted. */
  isCurrent(nowMs: number): boolean {
    const ageMs = nowMs - this.countedAtMs;
    if (ageMs < 0 || ageMs >= MAX_COUNT_AGE_MS) return false;
    for (const [dataCentre, wasEvacuated] of this.evacuated)
      if (this.deps.isEvacuated(dataCentre) !== wasEvacuated) return false;
    return true;
  }

  room(nowMs: number): GroupRoom {
    for (const member of this.changed) this.count(member, nowMs);
    this.changed.clear();
    const { freeSlots, openSlots, totalSlots } = this;
    return { freeSlots, totalSlots, openSlots, isKnown: this.reports > 0 };
  }

  private add(room: MemberRoom, sign: 1 | -1): void {
    this.freeSlots += sign * room.freeSlots;
    this.totalSlots += sign * room.totalSlots;
    this.openSlots += sign * room.openSlots;
    this.reports += sign * room.reports;
  }
}

/**
 * Capacity of the groups of one listing. All endpoints of a group are counted at
 * most once in 10 ms; between two counts, only those that this daemon sends a
 * request or hears of are counted again. Meant for groups of a hundred to some
 * thousand endpoints, whose capacity is read several times for each request.
 */
export class RoomCounts {
  private readonly byGroup = new Map<string, RoomCount>();

  constructor(private readonly deps: RoomCountsDependencies) {}

  /** Forgets the counts, as the listing has changed. */
  clear(): void {
    this.byGroup.clear();
  }

  of(group: string, members: readonly PoolMember[], nowMs: number): GroupRoom {
    const known = this.byGroup.get(group);
    if (known?.isCurrent(nowMs) === true) return known.room(nowMs);
    if (members.length === 0) return NO_ROOM;
    const count = new RoomCount(this.deps, members, nowMs);
    this.byGroup.set(group, count);
    return count.room(nowMs);
  }

  /**
   * Records that no endpoint was found for a request, so that the group is counted
   * again if it counts as open: a peer's news may have closed it without notice, and
   * the request is to wait then instead of being refused.
   */
  recordNoneFound(group: string): void {
    if (this.byGroup.get(group)?.isOpen === true) this.byGroup.delete(group);
  }

  /** Records that this daemon has changed or learned something of an endpoint. */
  markChanged(member: PoolMember): void {
    this.byGroup.get(member.record.group)?.markChanged(member);
  }
}
