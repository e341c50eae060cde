import type { FleetPolicy, MachineClass } from '@skylarkreach/core/fleet';
import type { DataCentre } from '@skylarkreach/core/ports';

/** Instance type with its on-demand price. */
export interface PricedMachineClass extends MachineClass {
  readonly onDemandPricePerHour: number;
}

export const MACHINE_CLASSES: readonly PricedMachineClass[] = [
  { name: 'small', capacityTokensPerSecond: 500, onDemandPricePerHour: 2 },
  { name: 'medium', capacityTokensPerSecond: 1_050, onDemandPricePerHour: 4.1 },
];

/** Data centres and daily demand curve of one simulated deployment. */
export interface FleetDeployment {
  readonly name: string;
  readonly dataCentres: readonly DataCentre[];
  readonly peakTokensPerSecond: number;
  /** Demand at night as a fraction of the peak. */
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

export const ENDPOINT_GROUP = 'model';

/** Creates the fleet policy that all strategies use for a deployment. */
export function createPolicy(deployment: FleetDeployment): FleetPolicy {
  return {
    name: deployment.name,
    group: ENDPOINT_GROUP,
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
