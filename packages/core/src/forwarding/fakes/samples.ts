import type { Configuration, ForwardRoute, TokenRate } from '../index.js';
import type { EndpointRecord } from '../index.js';
import type { ResponseMetadata } from '../index.js';
import { RouteType } from '../index.js';
import { EndpointState } from '../index.js';

/** Host of the sample routes. */
export const SAMPLE_HOST = 'a.example';

/** Returns an idempotent route with up to two attempts. */
export function sampleRoute(
  overrides: Partial<ForwardRoute> = {},
): ForwardRoute {
  return {
    name: 'lookups',
    host: SAMPLE_HOST,
    pathPrefix: '/lookups/',
    type: RouteType.Idempotent,
    targets: [{ group: 'ledger', weight: 1 }],
    timeoutMs: 1_000,
    latencyObjectiveMs: 100,
    maxGapMs: undefined,
    priority: 0,
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    homeRegions: undefined,
    ...overrides,
  };
}

/** Returns a configuration with one workspace and the given routes. */
export function sampleConfiguration(
  routes: readonly ForwardRoute[],
  overrides: Partial<Configuration> = {},
  tokenRate?: TokenRate,
): Configuration {
  return {
    version: 1,
    routes,
    groups: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    workspaces: [
      {
        workspace: 'kowhai',
        apiKeys: ['key-1'],
        priority: undefined,
        tokenRate,
        homeRegions: undefined,
      },
    ],
    ...overrides,
  };
}

/** Returns a ready endpoint of the group `ledger`. */
export function sampleEndpoint(
  id: string,
  overrides: Partial<EndpointRecord> = {},
): EndpointRecord {
  return {
    id,
    address: `10.0.0.${id.length}:80`,
    group: 'ledger',
    dataCentre: 'north-1',
    version: 'v1',
    slots: 4,
    state: EndpointState.Ready,
    coldRemainingMs: 0,
    isReclaimable: false,
    leavesInMs: undefined,
    bornAtMs: 1,
    ...overrides,
  };
}

/** Returns the metadata of a valid response to the request. */
export function sampleResponseMetadata(
  requestId: string,
  overrides: Partial<ResponseMetadata> = {},
): ResponseMetadata {
  return {
    requestId,
    isNotRun: false,
    isMisdirected: false,
    isSigned: true,
    isEncoded: false,
    isEventStream: false,
    isLeaving: false,
    pauseMs: undefined,
    load: undefined,
    coldForMs: undefined,
    limitPerSecond: undefined,
    maxRejectionsPerSecond: undefined,
    ...overrides,
  };
}
