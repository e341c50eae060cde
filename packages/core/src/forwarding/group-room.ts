import type { PoolMember } from './pool-member.js';
import { hasRecentReport } from './pool-member.js';
import type { PoolQuery } from './pool-query.js';

/** What one endpoint adds to the capacity of its group. */
export interface MemberRoom {
  /** 1 if its last report shows a free slot. */
  readonly freeSlots: number;
  readonly totalSlots: number;
  readonly openSlots: number;
  /** 1 if it has reported its load of late. */
  readonly reports: number;
}

const NOTHING: MemberRoom = {
  freeSlots: 0,
  totalSlots: 0,
  openSlots: 0,
  reports: 0,
};

/** Returns what an endpoint adds; `isUsable` is whether it accepts new requests, `isOpen` whether this daemon may send it one now. */
export function memberRoomOf(
  member: PoolMember,
  isUsable: boolean,
  isOpen: boolean,
  nowMs: number,
): MemberRoom {
  if (!isUsable) return NOTHING;
  const totalSlots = Math.max(1, member.record.slots);
  if (!isOpen) return { ...NOTHING, totalSlots };
  const isReported = hasRecentReport(member, nowMs);
  return {
    freeSlots: isReported && reportedFreeSlots(member) > 0 ? 1 : 0,
    totalSlots,
    openSlots: totalSlots,
    reports: isReported ? 1 : 0,
  };
}

/** Returns the slots that the endpoint's last report shows free, less the requests sent since. */
function reportedFreeSlots({
  reportedLoad,
  sentSinceLoadReport,
}: PoolMember): number {
  if (reportedLoad === undefined) return 0;
  const { running, slots, waiting } = reportedLoad;
  return Math.max(0, slots - running - waiting - sentSinceLoadReport);
}

/** Returns whether the query allows an endpoint; `running` returns the requests that are known to run or wait there. */
export function matchesRoom(
  { record }: PoolMember,
  { requiresRoom }: PoolQuery,
  running: () => number,
): boolean {
  if (requiresRoom !== true) return true;
  return running() < Math.max(1, record.slots);
}
