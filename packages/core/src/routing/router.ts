import type {
  Address,
  CacheEvent,
  DataCentre,
  Endpoint,
  LoadReport,
  Priority,
  Workspace,
} from '../ports/index.js';

/** What the choice of an endpoint depends on. */
export interface RouteRequest {
  readonly requestId: string;
  readonly workspace: Workspace;
  readonly kind: string;
  readonly group: string;
  /** The only version allowed; undefined where any will do. */
  readonly version?: string;
  /** Prompt text as sent to the engine, for prefix affinity; empty for plain services. */
  readonly promptText: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly priority: Priority;
  readonly deadlineAtMs: number;
  /** Endpoints already tried by this request. */
  readonly excluded: ReadonlySet<Address>;
  readonly avoidedDataCentres: ReadonlySet<DataCentre>;
}

/** One dispatch of a request to an endpoint. */
export interface Attempt {
  readonly attemptId: string;
  readonly address: Address;
  readonly request: RouteRequest;
}

export enum AttemptEnd {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Refused = 'refused',
  Cancelled = 'cancelled',
}

export interface AttemptResult {
  readonly end: AttemptEnd;
  /** Time of the first byte of the answer, if one came. */
  readonly firstByteAtMs?: number;
  readonly generatedTokens: number;
  readonly cachedTokens?: number;
}

/** How this daemon learnt that an endpoint is leaving. */
export enum LeavingSource {
  Notice = 'notice',
  Listing = 'listing',
  Peer = 'peer',
  Refusal = 'refusal',
}

/** Chooses endpoints and learns from reports and from its own attempts. */
export interface Router {
  /** The endpoint to use, or undefined where none may take the request. */
  choose(request: RouteRequest, nowMs: number): Endpoint | undefined;
  recordDispatch(attempt: Attempt, nowMs: number): void;
  recordEnd(attempt: Attempt, result: AttemptResult, nowMs: number): void;
  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void;
  applyLoad(address: Address, report: LoadReport, nowMs: number): void;
  applyCacheEvents(address: Address, events: readonly CacheEvent[]): void;
  markLeaving(address: Address, source: LeavingSource, nowMs: number): void;
  /** Takes word of one endpoint from elsewhere than the platform's list. */
  addEndpoint?(endpoint: Endpoint, asOfMs: number): void;
  applyPrices?(prices: ReadonlyMap<Address, number>): void;
  /** Wait at the endpoints of the group by their reports, in milliseconds; undefined without reports. */
  reportedWaitMs?(group: string): number | undefined;
  /** Endpoints known to this daemon, with the stage that it believes. */
  endpoints(): readonly Endpoint[];
}
