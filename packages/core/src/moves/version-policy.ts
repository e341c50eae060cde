import type { Address, Endpoint } from '../ports/index.js';

/** Properties of a request that determine its version. */
export interface VersionRequest {
  readonly requestId: string;
  readonly group: string;
  readonly kind: string;
}

/** Version restriction for all attempts of one request. */
export interface VersionChoice {
  /** The only version allowed; undefined if any version may serve. */
  readonly version?: string;
  /** Version to use after an attempt at `version` has failed. */
  readonly fallbackVersion?: string;
  /** Endpoints of `version` that get no requests for now. */
  readonly excludedAddresses: ReadonlySet<Address>;
}

/** Policy that selects the version for each request of a group during a move. */
export interface VersionPolicy {
  choose(
    request: VersionRequest,
    endpoints: readonly Endpoint[],
    nowMs: number,
  ): VersionChoice;
}

/** No restriction, for a group without a move. */
export const ANY_VERSION: VersionChoice = { excludedAddresses: new Set() };
