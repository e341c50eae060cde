import type { DataCentre } from '../ports/index.js';
import { NotSentError } from '../ports/index.js';
import type { EndpointRecord } from './endpoint-record.js';
import type { ForwardRequest } from './forward-request.js';
import type { PoolReservation } from './pool-reservation.js';
import type { EndpointResponse } from './upstream.js';

/** Request that a daemon passes on to a peer, for one attempt at an endpoint. */
export interface RelayedRequest {
  readonly request: ForwardRequest;
  readonly remainingMs: number;
  /** Id of the last event that the caller has. */
  readonly lastEventId: string | undefined;
  /** Endpoints that the request was sent to before. */
  readonly excludedIds: readonly string[];
  /** Whether the request may still be written to the peer; asked right before it is. */
  readonly mayWrite?: () => boolean;
}

/** Part that a daemon plays in a request that a peer passed on to it. */
export interface RelayedPart {
  readonly excludedIds: readonly string[];
  /** Called with each endpoint that the request is sent to. */
  readonly onDispatch: (endpointId: string) => void;
}

/** Sends requests through peers while this daemon does not reach the endpoints itself. */
export interface RequestRelay {
  /** Whether this daemon reaches no endpoint of a group. */
  isUnreachable(group: string): boolean;
  /** Reserves a peer, in one of the data centres if these are given, that reaches a group's endpoints where this daemon does not; the reservation's endpoint is the peer. Undefined if this daemon reaches them, or no such peer is known. */
  reserve(
    group: string,
    excludedIds: ReadonlySet<string>,
    nowMs: number,
    allowedDataCentres?: ReadonlySet<DataCentre>,
  ): PoolReservation | undefined;
  /**
   * Sends a request through a peer. Throws `NotSentError` if the peer sent it to no
   * endpoint, and `AnswerLostError` if an endpoint may have executed it.
   * `onEndpoint` is called with the endpoint that the peer chose, once it is known.
   */
  send(
    peer: EndpointRecord,
    relayed: RelayedRequest,
    onEndpoint: (endpointId: string) => void,
    signal: AbortSignal,
  ): Promise<EndpointResponse>;
  /** Calls the listener once a group is found unreachable while its connections are silent. Returns a function that removes it. */
  onSilence(group: string, listener: () => void): () => void;
}

/** Relay of a daemon that has no peers. */
export const NO_RELAY: RequestRelay = {
  isUnreachable: () => false,
  reserve: () => undefined,
  send: () => Promise.reject(new NotSentError('There are no peers.')),
  onSilence: () => () => undefined,
};
