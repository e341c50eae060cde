import type { DataCentre } from '../ports/index.js';
import type { InstanceBilling } from '../ports/index.js';

/** A class of machines and the load that one instance of it carries. */
export interface MachineClass {
  readonly name: string;
  /** Tokens a second that one instance generates within the latency target. */
  readonly capacityTokensPerSecond: number;
}

/** Bounds and delays of the planner. Delays become stored deadlines when they are used. */
export interface FleetPolicy {
  readonly name: string;
  /** Group of the endpoints that run on the fleet's instances. */
  readonly group: string;
  readonly classes: readonly MachineClass[];
  readonly dataCentres: readonly DataCentre[];
  /** Load kept at all times, in tokens a second. */
  readonly promisedTokensPerSecond: number;
  /** Factor on the observed demand. */
  readonly headroomFactor: number;
  /** Time for which a peak of demand is kept as the demand. */
  readonly peakHoldMs: number;
  /** Time that a surplus or a cheaper offer must last before the fleet follows it. */
  readonly settleDelayMs: number;
  /** Time that an instance takes no new work before it is stopped. */
  readonly drainMs: number;
  /** Time from the start of an instance by which it must be ready. */
  readonly readyTimeoutMs: number;
  readonly refusalBackoffMs: number;
  readonly maxRefusalBackoffMs: number;
  /** Time after a reclaim in which its pool is not used again. */
  readonly reclaimPauseMs: number;
}

/** Instances that are priced, refused and reclaimed alike. */
export interface Pool {
  readonly machineClass: string;
  readonly dataCentre: DataCentre;
  readonly billing: InstanceBilling;
}

/** Pool as a map key. */
export function poolKey(pool: Pool): string {
  return `${pool.machineClass}/${pool.dataCentre}/${pool.billing}`;
}

/** Load that an instance of the class carries; 0 where the class is not in the policy. */
export function capacityOf(policy: FleetPolicy, machineClass: string): number {
  const found = policy.classes.find(each => each.name === machineClass);
  return found?.capacityTokensPerSecond ?? 0;
}

/** The pool's own fields, without those of the object that holds them. */
export function poolOf(pool: Pool): Pool {
  const { machineClass, dataCentre, billing } = pool;
  return { machineClass, dataCentre, billing };
}
