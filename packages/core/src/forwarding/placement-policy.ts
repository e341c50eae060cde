import type { LogFields } from '../ports/index.js';
import type { EndpointLoad } from './endpoint-load.js';
import type { ReportedLoad } from './forward-request.js';
import type { PoolMember } from './pool-member.js';
import type { PoolQuery } from './pool-query.js';
import type { PromptSources } from './prompt-transfer.js';

/** Load of all peers together at an endpoint, as far as this daemon knows it. */
export type PeerLoadAt = EndpointLoad;

/** Query with what is the same for all endpoints that are compared. */
export interface PlacementQuery extends PoolQuery {
  /** Endpoints that all daemons prefer for the shared parts of the prompt, in this order; empty if no part is shared. */
  readonly preferred: readonly PoolMember[];
  /** Endpoints from which the prompt can be fetched; absent if there are none. */
  readonly promptSources?: PromptSources;
}

/** Receives the progress of a request at the endpoint that was reserved for it. */
export interface PlacementObservation {
  /** Fields of the request's log line that say why the endpoint was chosen. */
  fields(): LogFields;
  recordLoad(load: ReportedLoad, nowMs: number): void;
  /** Records that the first event of a stream or a complete response has arrived. */
  recordFirstEvent(nowMs: number): void;
  /** Records further events of a stream, the first ones included. */
  recordEvents(count: number): void;
  /** Records that the request has left the endpoint; `hasSucceeded` is false if its times say nothing. */
  end(hasSucceeded: boolean, nowMs: number): void;
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
  /** Returns the prompt tokens that are expected to be missing at the endpoint; prompts are never transferred if absent. */
  uncachedTokens?(member: PoolMember, query: PlacementQuery): number;
  /** Called with each request that is sent to an endpoint; absent if the policy learns nothing, undefined if it learns nothing from this one. */
  observe?(
    member: PoolMember,
    query: PlacementQuery,
    load: PeerLoadAt,
    nowMs: number,
  ): PlacementObservation | undefined;
  /** Returns what was learned of an endpoint, for the operators. */
  dumpMember?(member: PoolMember, nowMs: number): unknown;
}
