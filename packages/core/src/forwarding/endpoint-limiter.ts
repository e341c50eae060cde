import type { EndpointRecord } from './endpoint-record.js';

/** Keeps the requests of all daemons together below the rate limits that endpoints name. */
export interface EndpointLimiter {
  /**
   * Returns the milliseconds until this daemon may send the endpoint a request: 0
   * if it may now, Infinity if other daemons use the whole limit; undefined if
   * the endpoint names no limit.
   */
  waitMs(endpoint: EndpointRecord): number | undefined;
  /** Counts a request that is sent to the endpoint now. */
  recordDispatch(endpoint: EndpointRecord): void;
  /**
   * Records the limit that a response names, and that a response without one to a
   * request sent at `sentAtMs` ends an earlier limit.
   */
  recordResponse(
    endpoint: EndpointRecord,
    limitPerSecond: number | undefined,
    sentAtMs: number,
  ): void;
  /** Returns the milliseconds after which a caller that is rejected now may return to one of the limited endpoints; each caller gets a later time than the one before. */
  scheduleReturnMs(endpoints: readonly EndpointRecord[]): number;
}

/** Limiter of endpoints that name no limits. */
export const UNLIMITED: EndpointLimiter = {
  waitMs: () => undefined,
  recordDispatch: () => undefined,
  recordResponse: () => undefined,
  scheduleReturnMs: () => 0,
};
