import type { DataCentre, Workspace } from '../ports/index.js';
import type { Region } from './home-regions.js';

/** How often an endpoint may execute a request of a route, and how the response arrives. */
export enum RouteType {
  Idempotent = 'idempotent',
  NonIdempotent = 'nonIdempotent',
  Streaming = 'streaming',
}

/** Weighted share of a route's requests that is sent to one group of endpoints. */
export interface RouteTarget {
  readonly group: string;
  /** Weight relative to the route's other targets, at least 0. */
  readonly weight: number;
}

/** Routing rule for one host and path prefix, with its timeouts and service objectives. */
export interface ForwardRoute {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly type: RouteType;
  readonly targets: readonly RouteTarget[];
  /** Upper bound on the time from receiving a request to answering its caller. */
  readonly timeoutMs: number;
  /** Target time to the response, or to a stream's first event. */
  readonly latencyObjectiveMs: number;
  /** Target maximum gap between two events of a stream. */
  readonly maxGapMs: number | undefined;
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** Maximum number of attempts for one request, at least 1. */
  readonly maxAttempts: number;
  /** Requests need no API key. */
  readonly isPublic: boolean;
  /** A broken stream may be resumed at another endpoint after its last complete event. */
  readonly isResumable: boolean;
  /** Regions whose endpoints alone may serve the route; undefined or empty if all may. */
  readonly homeRegions: readonly Region[] | undefined;
}

/** How fast the engines of a group transfer cached prompts between one another. */
export interface TransferCapacity {
  readonly bytesPerToken: number;
  /** Rate of one engine within a data centre. */
  readonly bytesPerMs: number;
}

/** Capacity of one endpoint of a group of model engines. */
export interface EngineCapacity {
  readonly slots: number;
  readonly cacheTokens: number;
  /** Undefined if the engines transfer no prompts. */
  readonly transfer: TransferCapacity | undefined;
}

/** Bounds and prices for scaling a group of endpoints. */
export interface ScalingSettings {
  /** Lower bound per data centre, counting reclaimable and on-demand endpoints. */
  readonly minEndpoints: number;
  /** Upper bound per data centre, counting reclaimable and on-demand endpoints. */
  readonly maxEndpoints: number;
  readonly bootMs: number;
  /** Price of a reclaimable endpoint relative to an on-demand one; undefined if the group has no reclaimable endpoints. */
  readonly reclaimablePrice: number | undefined;
  readonly pricesByDataCentre: Readonly<Record<DataCentre, number>>;
}

/** What the endpoints of a group tolerate after they have started. */
export interface ColdStart {
  /** Time for which an endpoint is cold after it has started. */
  readonly durationMs: number;
  /** Requests per second that a cold endpoint tolerates from all daemons together. */
  readonly requestsPerSecond: number;
}

/** Group of interchangeable endpoints. */
export interface ForwardGroup {
  readonly name: string;
  /** Maximum number of connections to one endpoint, over all callers. */
  readonly maxConnections: number;
  readonly engine: EngineCapacity | undefined;
  readonly scaling: ScalingSettings | undefined;
  /** Undefined if its endpoints are never cold, or tolerate any number of requests then. */
  readonly coldStart: ColdStart | undefined;
}

/** Size limits and timeouts for requests from callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Token rate limit of a workspace, shared by all daemons. */
export interface TokenRate {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  /** Tokens charged for a request that states no usage. */
  readonly plainTokens: number;
}

/** Workspace with its API keys and limits. */
export interface ForwardWorkspace {
  readonly workspace: Workspace;
  readonly apiKeys: readonly string[];
  /** Overrides the priority of the route. */
  readonly priority: number | undefined;
  /** Undefined if the workspace has no rate limit. */
  readonly tokenRate: TokenRate | undefined;
  /** As for a route; a request has to meet both restrictions. */
  readonly homeRegions: readonly Region[] | undefined;
}

/** One version of the operators' configuration. */
export interface Configuration {
  /** Increases with every change, not always by 1. */
  readonly version: number;
  readonly routes: readonly ForwardRoute[];
  readonly groups: readonly ForwardGroup[];
  readonly limits: CallerLimits;
  /** Undefined if no request needs an API key. */
  readonly workspaces: readonly ForwardWorkspace[] | undefined;
  /** Whether the daemon that read the configuration knows home regions; absent in builds that leave them out. */
  readonly knowsHomeRegions?: boolean;
}

/** Returns the names of the routes that have the group as a target. */
export function routeNamesFor(
  configuration: Configuration | undefined,
  group: string,
): readonly string[] {
  const routes = configuration?.routes ?? [];
  return routes
    .filter(route => route.targets.some(target => target.group === group))
    .map(route => route.name);
}
