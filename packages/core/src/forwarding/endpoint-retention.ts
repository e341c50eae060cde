import { EndpointState } from './endpoint-record.js';
import type { PoolMember } from './pool-member.js';

type MembersById = ReadonlyMap<string, PoolMember>;

/**
 * Returns the ready members that `next` lacks and that are to stay in use after
 * an outage of the store: those in groups that lack at least as many as are
 * listed, as the outage makes most entries expire.
 */
export function findRetainable(
  current: MembersById,
  next: MembersById,
): readonly PoolMember[] {
  const usedAddresses = new Set(
    [...next.values()].map(each => each.record.address),
  );
  const missing = [...current.values()].filter(({ record }) => {
    const isLeaving =
      record.state !== EndpointState.Ready || usedAddresses.has(record.address);
    return !next.has(record.id) && !isLeaving;
  });
  const listed = countReadyByGroup(next.values());
  const lacking = countReadyByGroup(missing);
  return missing.filter(
    ({ record: { group } }) =>
      (lacking.get(group) ?? 0) >= (listed.get(group) ?? 0),
  );
}

function countReadyByGroup(
  members: Iterable<PoolMember>,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { record } of members) {
    if (record.state !== EndpointState.Ready) continue;
    counts.set(record.group, (counts.get(record.group) ?? 0) + 1);
  }
  return counts;
}
