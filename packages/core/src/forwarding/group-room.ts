import type { GroupRoom } from './dispatch-gate.js';
import type { PoolMember } from './pool-member.js';
import type { PoolQuery } from './pool-query.js';

/** Age from which an endpoint's load report is ignored. */
const MAX_LOAD_REPORT_AGE_MS = 1_000; // most requests take less

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

/** Returns whether the endpoint has reported its load of late. */
export function hasRecentReport(
  { loadReportedAtMs, reportedLoad }: PoolMember,
  nowMs: number,
): boolean {
  const ageMs = nowMs - loadReportedAtMs;
  return reportedLoad !== undefined && ageMs < MAX_LOAD_REPORT_AGE_MS;
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
