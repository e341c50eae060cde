import type { PoolMember } from './pool-member.js';
import type { PoolQuery } from './pool-query.js';

/** Load of all daemons at an endpoint, as far as this daemon knows it. */
export interface PeerLoadAt {
  /** Requests that peers run there. */
  readonly running: number;
  /** Uncached prompt tokens of the peers' requests whose first event has not arrived. */
  readonly backlogTokens: number;
}

/** Query with what is the same for all endpoints that are compared. */
export interface PlacementQuery extends PoolQuery {
  /** Endpoints that all daemons prefer for the shared parts of the prompt, in this order; empty if no part is shared. */
  readonly preferred: readonly PoolMember[];
}

/** Estimates what a request costs at each endpoint. */
export interface PlacementPolicy {
  /** Returns the expected cost in milliseconds of the query at the endpoint; the pool reserves the endpoint with the lowest cost. */
  costMs(
    member: PoolMember,
    query: PlacementQuery,
    load: PeerLoadAt,
    nowMs: number,
  ): number;
}
