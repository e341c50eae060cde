import type { DataCentre } from '../ports/index.js';
import type { EndpointRecord } from './endpoint-record.js';

/** A request for which an endpoint was chosen. */
export interface ColdDispatch {
  /** Whether the request may still be written; to be called once, right before it is, which may be long after the choice. */
  mayWrite(): boolean;
  /** Ends the dispatch, whether or not the request was written. */
  end(): void;
}

/** Keeps the requests of all daemons together below what endpoints tolerate while they are cold. */
export interface ColdStartGuard {
  /**
   * Returns the milliseconds until this daemon may send the endpoint a request; 0 if
   * it may now or the endpoint is not cold. Where other daemons use the whole limit,
   * the time after which to ask again.
   */
  waitMs(endpoint: EndpointRecord): number;
  /** Counts a request for which the endpoint is chosen now. */
  recordDispatch(endpoint: EndpointRecord): ColdDispatch;
  /** Records how long the endpoint stays cold, as reported in a response. */
  recordStatement(endpoint: EndpointRecord, coldMs: number): void;
  /** Records that a connection to the endpoint was refused or reset, as it may have started again. */
  recordConnectionFailure(endpoint: EndpointRecord): void;
  /** Records a list of endpoints; `readAtMs` is when its read began, -Infinity if that is not known. */
  applyListing(endpoints: readonly EndpointRecord[], readAtMs: number): void;
  /** Records that the evacuation of a data centre has ended, as its endpoints may have become cold meanwhile. */
  recordEvacuationEnd(dataCentre: DataCentre): void;
}

/** Dispatch to an endpoint that may be sent any number of requests. */
export const UNRESTRICTED_DISPATCH: ColdDispatch = {
  mayWrite: () => true,
  end: () => undefined,
};

/** Guard of endpoints that are never cold. */
export const NEVER_COLD: ColdStartGuard = {
  waitMs: () => 0,
  recordDispatch: () => UNRESTRICTED_DISPATCH,
  recordStatement: () => undefined,
  recordConnectionFailure: () => undefined,
  applyListing: () => undefined,
  recordEvacuationEnd: () => undefined,
};
