import type { EvacuationState } from '../evacuations/index.js';
import type { Configuration } from './configuration.js';
import type { EndpointListing } from './endpoint-record.js';

/** Operator's order to roll a group out to another version of its endpoints. */
export interface RolloutOrder {
  /** Revision of the store at which the order was written. */
  readonly revision: number;
  readonly group: string;
  readonly toVersion: string;
  /** Time from the order within which the rollout has to end. */
  readonly durationMs: number;
}

/** Stored result of a rollout that has ended. */
export interface EndedRollout {
  /** Revision of the store at which the result was written. */
  readonly revision: number;
  readonly group: string;
  readonly toVersion: string;
  readonly hasSucceeded: boolean;
}

/** Operators' configuration and rollout orders as of one revision of the store. */
export interface OperatorState {
  readonly revision: number;
  /** Undefined if it has not changed or is malformed. */
  readonly configuration: Configuration | undefined;
  readonly rollouts: readonly RolloutOrder[];
  /** Evacuated data centres; undefined if they are not known to have changed. */
  readonly evacuations: EvacuationState | undefined;
  /** Rollouts stored as ended; empty in the results of `watch`. */
  readonly ended: readonly EndedRollout[];
  /** Number of malformed entries. */
  readonly malformed: number;
}

/** Source of the operators' configuration and orders. Its methods throw `PlatformError`. */
export interface OperatorSource {
  /** Uses a new connection if `freshConnection` is set. */
  readNow(
    deadlineAtMs: number,
    freshConnection?: boolean,
  ): Promise<OperatorState>;
  /** Waits for a change after the revision, at most until the deadline. */
  watch(afterRevision: number, deadlineAtMs: number): Promise<OperatorState>;
  /** Returns the changes after the revision at once, on a new connection if `freshConnection` is set. */
  readChanges(
    afterRevision: number,
    deadlineAtMs: number,
    freshConnection: boolean,
  ): Promise<OperatorState>;
}

/** Source of the endpoint listing. Throws `PlatformError`. */
export interface EndpointSource {
  /** Uses a new connection if `freshConnection` is set. */
  readNow(
    deadlineAtMs: number,
    freshConnection: boolean,
  ): Promise<EndpointListing & { readonly malformed: number }>;
}
