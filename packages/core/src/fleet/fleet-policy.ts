import type { DataCentre } from '../ports/index.js';
import type { InstanceBilling } from '../ports/index.js';

/** Machine class and the capacity of one instance of it. */
export interface MachineClass {
  readonly name: string;
  /** Tokens per second that one instance generates within the latency target. */
  readonly capacityTokensPerSecond: number;
}

/** Limits and delays of the planner. A delay is stored in the plan as a deadline once it starts. */
export interface FleetPolicy {
  readonly name: string;
  /** Group of the endpoints that run on the fleet's instances. */
  readonly group: string;
  readonly classes: readonly MachineClass[];
  readonly dataCentres: readonly DataCentre[];
  /** Minimum capacity, in tokens per second, that the fleet keeps through the loss of any one data centre. */
  readonly promisedTokensPerSecond: number;
  /** Factor by which the observed demand is multiplied. */
  readonly headroomFactor: number;
  /** Time for which the planner keeps using a peak of demand after it has passed. */
  readonly peakHoldMs: number;
  /** Time for which surplus capacity or a cheaper offer must persist before the planner acts on it. */
  readonly settleDelayMs: number;
  /** Time between the start of draining, when the instance accepts no new requests, and its stop. */
  readonly drainMs: number;
  /** Longest time from the start of an instance until it must be ready. */
  readonly readyTimeoutMs: number;
  /** Backoff after the first refusal; doubles with every further one in a row. */
  readonly refusalBackoffMs: number;
  readonly maxRefusalBackoffMs: number;
  /** Time after a reclaim during which no instance is started in its pool. */
  readonly reclaimPauseMs: number;
}

/** Group of instances that share a price and are refused or reclaimed together. */
export interface Pool {
  readonly machineClass: string;
  readonly dataCentre: DataCentre;
  readonly billing: InstanceBilling;
}

/** Returns the map key of a pool. */
export function poolKey(pool: Pool): string {
  return `${pool.machineClass}/${pool.dataCentre}/${pool.billing}`;
}

/** Returns the capacity of one instance of the class in tokens per second; 0 if the policy does not list the class. */
export function capacityOf(policy: FleetPolicy, machineClass: string): number {
  const found = policy.classes.find(
    candidate => candidate.name === machineClass,
  );
  return found?.capacityTokensPerSecond ?? 0;
}

/** Returns only the pool fields of an object that has more. */
export function poolOf(pool: Pool): Pool {
  const { machineClass, dataCentre, billing } = pool;
  return { machineClass, dataCentre, billing };
}
