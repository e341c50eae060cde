import type { GroupRoom } from './dispatch-gate.js';
import type { PoolMember } from './pool-member.js';
import { hasRecentReport } from './pool-member.js';
import type { PoolQuery } from './pool-query.js';

/** Returns the capacity of endpoints that accept new requests; `isOpen` returns whether this daemon may send one a request now. */
export function roomOf(
  members: readonly PoolMember[],
  isOpen: (member: PoolMember) => boolean,
  nowMs: number,
): GroupRoom {
  const open = members.filter(isOpen);
  const reported = open.filter(each => hasRecentReport(each, nowMs));
  return {
    freeSlots: reported.filter(each => reportedFreeSlots(each) > 0).length,
    totalSlots: countSlots(members),
    openSlots: countSlots(open),
    isKnown: reported.length > 0,
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

/** Returns whether the query allows an endpoint at which `running` requests are known to run or wait. */
export function matchesRoom(
  { record }: PoolMember,
  { requiresRoom }: PoolQuery,
  running: number,
): boolean {
  if (requiresRoom !== true) return true;
  return running < Math.max(1, record.slots);
}

function countSlots(members: readonly PoolMember[]): number {
  return members.reduce(
    (sum, { record }) => sum + Math.max(1, record.slots),
    0,
  );
}
