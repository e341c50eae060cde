import type { FleetPolicy, MachineClass } from '@skylarkreach/core/fleet';
import type { DataCentre } from '@skylarkreach/core/ports';

/** Class of machines with its price on demand. */
export interface PricedClass extends MachineClass {
  readonly onDemandPricePerHour: number;
}

export const MACHINE_CLASSES: readonly PricedClass[] = [
  { name: 'small', capacityTokensPerSecond: 500, onDemandPricePerHour: 2 },
  { name: 'medium', capacityTokensPerSecond: 1_050, onDemandPricePerHour: 4.1 },
];

/** Shape of one user's demand. */
export interface FleetDeployment {
  readonly name: string;
  readonly dataCentres: readonly DataCentre[];
  readonly peakTokensPerSecond: number;
  /** Demand at night as a part of the peak. */
  readonly nightShare: number;
  /** Hours of the day at which demand peaks. */
  readonly peakHours: readonly number[];
}

export const DEPLOYMENTS: readonly FleetDeployment[] = [
  {
    name: 'kowhai',
    dataCentres: ['north-1', 'north-2', 'north-3', 'north-4'],
    peakTokensPerSecond: 5_000,
    nightShare: 0.3,
    peakHours: [10, 15],
  },
  {
    name: 'lumela',
    dataCentres: ['gauteng-1', 'gauteng-2', 'gauteng-3', 'gauteng-4'],
    peakTokensPerSecond: 6_000,
    nightShare: 0.2,
    peakHours: [9, 13, 17],
  },
];

export const FLEET_GROUP = 'model';

/** Policy that every strategy is given. */
export function policyOf(deployment: FleetDeployment): FleetPolicy {
  return {
    name: deployment.name,
    group: FLEET_GROUP,
    classes: MACHINE_CLASSES,
    dataCentres: deployment.dataCentres,
    promisedTokensPerSecond:
      deployment.peakTokensPerSecond * deployment.nightShare,
    headroomFactor: 1.15,
    peakHoldMs: 15 * 60_000,
    settleDelayMs: 5 * 60_000,
    drainMs: 2 * 60_000,
    readyTimeoutMs: 10 * 60_000,
    refusalBackoffMs: 15_000,
    maxRefusalBackoffMs: 4 * 60_000,
    reclaimPauseMs: 5 * 60_000,
  };
}
