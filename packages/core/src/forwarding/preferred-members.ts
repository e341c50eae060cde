import { BoundedMap, hash32 } from '../routing/index.js';
import type { PromptPart } from './forward-request.js';
import type { PoolMember } from './pool-member.js';

/** Number of endpoints that daemons prefer for a shared part. */
const MAX_PREFERRED = 8; // docs/design/placement.md, 'Weighed'
/** Number of endpoints of which the order is kept for a shared part: all of a group of today's size, so that few that may be sent a request are found as fast. */
const MAX_RANKED = 16 * MAX_PREFERRED;
/** Number of shared parts whose endpoints are kept. */
const MAX_SHARED_PARTS = 1_024; // bounds memory to about 1.5 MB; callers use some hundred shared prompts

/** First endpoints of a group in the order of their weights for a shared part. */
interface Ranking {
  readonly members: readonly PoolMember[];
  /** Whether these are all endpoints of the group. */
  readonly isWhole: boolean;
}

/**
 * Endpoints that all daemons prefer for the last shared part of a prompt, so that
 * it is cached there: rendezvous hashing (highest random weight, Thaler and
 * Ravishankar, 1998). The order is kept until the listing changes; it does not
 * depend on the load. Meant for some hundred shared parts and groups of about a
 * hundred endpoints, which would otherwise be hashed for each request.
 */
export class PreferredMembers {
  private readonly rankings = new BoundedMap<string, Ranking>(MAX_SHARED_PARTS);

  /** Forgets the order, as the listing has changed. */
  clear(): void {
    this.rankings.clear();
  }

  /**
   * Returns the preferred ones of a group's endpoints for which `isEligible` holds,
   * in order; empty if no part of the prompt is shared.
   */
  find(
    group: string,
    members: readonly PoolMember[],
    parts: readonly PromptPart[],
    isEligible: (member: PoolMember) => boolean,
  ): readonly PoolMember[] {
    const key = parts.at(-2)?.id;
    if (key === undefined) return [];
    const ranking = this.rankingOf(group, members, key);
    const preferred = firstEligible(ranking.members, isEligible);
    return ranking.isWhole || preferred.length === MAX_PREFERRED
      ? preferred
      : firstEligible(rank(members, key), isEligible);
  }

  /** Returns the first endpoints of a group in order, whether or not they may be sent a request; empty if no part of the prompt is shared. */
  ranked(
    group: string,
    members: readonly PoolMember[],
    parts: readonly PromptPart[],
  ): readonly PoolMember[] {
    const key = parts.at(-2)?.id;
    return key === undefined ? [] : this.rankingOf(group, members, key).members;
  }

  private rankingOf(
    group: string,
    members: readonly PoolMember[],
    key: string,
  ): Ranking {
    const id = `${group} ${key}`;
    const known = this.rankings.get(id);
    const ranking = known ?? {
      members: rank(members, key).slice(0, MAX_RANKED),
      isWhole: members.length <= MAX_RANKED,
    };
    // Written again at each use, so that the least recently used entry is evicted.
    this.rankings.set(id, ranking);
    return ranking;
  }
}

/** Returns the endpoints by descending weight for a shared part. */
function rank(
  members: readonly PoolMember[],
  key: string,
): readonly PoolMember[] {
  return members
    .map(member => ({ member, weight: hash32(`${key} ${member.record.id}`) }))
    .sort((left, right) => right.weight - left.weight)
    .map(({ member }) => member);
}

function firstEligible(
  ranked: readonly PoolMember[],
  isEligible: (member: PoolMember) => boolean,
): readonly PoolMember[] {
  const eligible: PoolMember[] = [];
  for (const member of ranked) {
    if (eligible.length === MAX_PREFERRED) break;
    if (isEligible(member)) eligible.push(member);
  }
  return eligible;
}
