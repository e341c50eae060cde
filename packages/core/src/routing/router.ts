import type {
  Address,
  CacheEvent,
  DataCentre,
  Endpoint,
  LoadReport,
  Priority,
  Workspace,
} from '../ports/index.js';

/** Properties of a request that the choice of an endpoint depends on. */
export interface RouteRequest {
  readonly requestId: string;
  readonly workspace: Workspace;
  readonly kind: string;
  readonly group: string;
  /** The only version allowed; undefined if any version is. */
  readonly version?: string;
  /** Prompt text as sent to the engine, used for prefix affinity; empty for plain services. */
  readonly promptText: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly priority: Priority;
  readonly deadlineAtMs: number;
  /** Addresses that must not be chosen, such as those already tried for this request. */
  readonly excluded: ReadonlySet<Address>;
  /** Data centres to use only if no other endpoint is available. */
  readonly avoidedDataCentres: ReadonlySet<DataCentre>;
}

/** Single dispatch of a request to an endpoint. */
export interface Attempt {
  readonly attemptId: string;
  readonly address: Address;
  readonly request: RouteRequest;
}

/** Outcome of an attempt. */
export enum AttemptEnd {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Refused = 'refused',
  Cancelled = 'cancelled',
}

export interface AttemptResult {
  readonly end: AttemptEnd;
  /** Time of the first byte of the response; undefined if there was none. */
  readonly firstByteAtMs?: number;
  readonly generatedTokens: number;
  readonly cachedTokens?: number;
}

/** Source from which this daemon learned that an endpoint is leaving. */
export enum LeavingSource {
  Notice = 'notice',
  Listing = 'listing',
  Peer = 'peer',
  Refusal = 'refusal',
}

/** Router that chooses endpoints, using load reports, cache events and the results of its own attempts. */
export interface Router {
  /** Returns the endpoint to use; undefined if none is available. */
  choose(request: RouteRequest, nowMs: number): Endpoint | undefined;
  recordDispatch(attempt: Attempt, nowMs: number): void;
  recordEnd(attempt: Attempt, result: AttemptResult, nowMs: number): void;
  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void;
  applyLoad(address: Address, report: LoadReport, nowMs: number): void;
  applyCacheEvents(address: Address, events: readonly CacheEvent[]): void;
  markLeaving(address: Address, source: LeavingSource, nowMs: number): void;
  /** Adds or updates one endpoint from a source other than the platform's listing. */
  addEndpoint?(endpoint: Endpoint, asOfMs: number): void;
  applyPrices?(prices: ReadonlyMap<Address, number>): void;
  /** Returns the wait reported by the group's endpoints, in milliseconds; undefined without reports. */
  reportedWaitMs?(group: string): number | undefined;
  /** Returns the endpoints known to this daemon, with the stage known for each. */
  endpoints(): readonly Endpoint[];
}
