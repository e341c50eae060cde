import type { DataCentre, Workspace } from '../ports/index.js';

/** How often the work of a route's requests may run. */
export enum RouteType {
  Idempotent = 'idempotent',
  NonIdempotent = 'nonIdempotent',
  Streaming = 'streaming',
}

/** Part of a route's requests that goes to one group of endpoints. */
export interface RouteTarget {
  readonly group: string;
  /** Share against the route's other targets, at least 0. */
  readonly weight: number;
}

/** Where requests of one host and path prefix go, and what they are owed. */
export interface ForwardRoute {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly type: RouteType;
  readonly targets: readonly RouteTarget[];
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that callers aim for. */
  readonly latencyObjectiveMs: number;
  /** Longest pause between two events of a stream that is still on time. */
  readonly maxGapMs: number | undefined;
  /** Rank of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Most endpoints that one request may be sent to, at least 1. */
  readonly maxAttempts: number;
  /** Served without a key. */
  readonly isPublic: boolean;
  /** A stream may go on at another endpoint after its last whole event. */
  readonly isResumable: boolean;
}

/** What the endpoints of a group can hold, where they are model engines. */
export interface EngineTraits {
  readonly slots: number;
  readonly cacheTokens: number;
}

/** Bounds and prices within which the endpoints of a group may be ordered. */
export interface ScalingTraits {
  /** For each data centre, reclaimable and on-demand endpoints together. */
  readonly minEndpoints: number;
  /** For each data centre, reclaimable and on-demand endpoints together. */
  readonly maxEndpoints: number;
  readonly bootMs: number;
  /** Price of a reclaimable endpoint as a share of an on-demand one; undefined where there are none. */
  readonly reclaimablePrice: number | undefined;
  readonly pricesByDataCentre: Readonly<Record<DataCentre, number>>;
}

/** A group of endpoints that serve the same requests. */
export interface ForwardGroup {
  readonly name: string;
  /** Connections that one endpoint takes from all callers together. */
  readonly maxConnections: number;
  readonly engine: EngineTraits | undefined;
  readonly scaling: ScalingTraits | undefined;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Tokens that a workspace may use over all daemons together. */
export interface TokenRate {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  /** Tokens that a request without a stated usage counts as. */
  readonly plainTokens: number;
}

/** A workspace, its keys and its limits. */
export interface ForwardWorkspace {
  readonly workspace: Workspace;
  readonly apiKeys: readonly string[];
  /** Goes before the priority of the route. */
  readonly priority: number | undefined;
  /** Undefined where there is no limit. */
  readonly tokenRate: TokenRate | undefined;
}

/** One version of what operators have set. */
export interface Configuration {
  /** Rises with every change, not always by one. */
  readonly version: number;
  readonly routes: readonly ForwardRoute[];
  readonly groups: readonly ForwardGroup[];
  readonly limits: CallerLimits;
  /** Undefined where no request needs a key. */
  readonly workspaces: readonly ForwardWorkspace[] | undefined;
}
