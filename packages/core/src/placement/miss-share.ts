/** Share of the shared parts of a prompt that is expected to be uncached at the first of its preferred endpoints, and how much more at each further one. */
const FIRST_MISS_SHARE = 0.1; // docs/design/placement.md, 'Weighed'
const MISS_SHARE_STEP = 0.05; // docs/design/placement.md, 'Weighed'

/** Returns the share of the shared parts that is expected to be uncached at a preferred endpoint; the first one has rank 0. */
export function missShareAt(rank: number): number {
  return FIRST_MISS_SHARE + MISS_SHARE_STEP * rank;
}
