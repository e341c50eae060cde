import type { EndpointRecord } from './endpoint-record.js';

/** What this daemon knows of the load of an endpoint. */
export interface KnownLoad {
  /** Running requests of all daemons. */
  readonly running: number;
  readonly expectedResponseMs: number;
}

/** A request that is sent to an endpoint. */
export interface GuardedDispatch {
  /** Records the head of the endpoint's response. */
  recordResponse(response: GuardedResponse): void;
  /** Ends the dispatch; without a response it may have been rejected. */
  end(): void;
}

export interface GuardedResponse {
  /** The endpoint did not execute the request. */
  readonly isRejection: boolean;
  /** Rejections per second from which the endpoint fails; undefined if it does not say so. */
  readonly maxRejectionsPerSecond: number | undefined;
}

/** Keeps the rejections that endpoints have to make for all daemons together below those from which they fail. */
export interface OverloadGuard {
  /** Returns the milliseconds until this daemon may send the endpoint a request: 0 if it may now. */
  waitMs(endpoint: EndpointRecord, load: KnownLoad): number;
  /** Counts a request that is sent to the endpoint now. */
  recordDispatch(endpoint: EndpointRecord): GuardedDispatch;
}

const UNGUARDED_DISPATCH: GuardedDispatch = {
  recordResponse: () => undefined,
  end: () => undefined,
};

/** Guard of endpoints that bear any number of rejections. */
export const UNGUARDED: OverloadGuard = {
  waitMs: () => 0,
  recordDispatch: () => UNGUARDED_DISPATCH,
};
