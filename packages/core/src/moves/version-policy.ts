import type { Address, Endpoint } from '../ports/index.js';

/** What the version of a request depends on. */
export interface VersionSubject {
  readonly requestId: string;
  readonly group: string;
  readonly kind: string;
}

/** The version of a request, for all its attempts. */
export interface VersionChoice {
  /** The only version allowed; undefined where any will do. */
  readonly version?: string;
  /** Version to use where an attempt at the chosen one has failed. */
  readonly fallbackVersion?: string;
  /** Endpoints of the version that stay out of use for now. */
  readonly unused: ReadonlySet<Address>;
}

/** Chooses the version of each request while a group moves to another one. */
export interface VersionPolicy {
  choose(
    subject: VersionSubject,
    endpoints: readonly Endpoint[],
    nowMs: number,
  ): VersionChoice;
}

/** Any version, for a group that does not move. */
export const ANY_VERSION: VersionChoice = { unused: new Set() };
