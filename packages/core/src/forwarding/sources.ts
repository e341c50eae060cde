import type { Configuration } from './configuration.js';
import type { EndpointListing } from './endpoint-record.js';

/** An operator's order to move a group to another version of its endpoints. */
export interface RolloutOrder {
  /** Revision of the store at which the order was given. */
  readonly revision: number;
  readonly group: string;
  readonly toVersion: string;
  /** Time from the order in which it is to be over. */
  readonly durationMs: number;
}

/** The end of a rollout, as it is written down. */
export interface EndedRollout {
  readonly group: string;
  readonly toVersion: string;
  readonly hasSucceeded: boolean;
}

/** What operators have written, as of one revision of the store. */
export interface OperatorState {
  readonly revision: number;
  /** Undefined where it has not changed, or cannot be read. */
  readonly configuration: Configuration | undefined;
  readonly rollouts: readonly RolloutOrder[];
  /** Rollouts that are written down as over; read only where all is read. */
  readonly ended: readonly EndedRollout[];
  /** Entries that cannot be read. */
  readonly malformed: number;
}

/** Reads what operators have written. Throws `PlatformError`. */
export interface OperatorSource {
  readNow(deadlineAtMs: number): Promise<OperatorState>;
  /** Waits for a change after the revision, until the deadline at most. */
  watch(afterRevision: number, deadlineAtMs: number): Promise<OperatorState>;
}

/** Reads the list of endpoints. Throws `PlatformError`. */
export interface EndpointSource {
  readNow(
    deadlineAtMs: number,
  ): Promise<EndpointListing & { readonly malformed: number }>;
}
