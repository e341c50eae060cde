import type { DataCentre, Workspace } from '../ports/index.js';

/** Shows that the caller holds the duty. */
export interface DutyProof {
  readonly holder: string;
  /** Rises with every change of holder. */
  readonly fencingNumber: number;
}

/** Requests of each workspace that endpoints began to run in one window. */
export interface UsageReport {
  readonly windowId: number;
  readonly counts: Readonly<Record<Workspace, number>>;
}

/** The number of endpoints that a data centre is to have. */
export interface ScalingOrder {
  readonly group: string;
  readonly dataCentre: DataCentre;
  readonly isReclaimable: boolean;
  readonly count: number;
}

export enum OrderOutcome {
  Accepted = 'accepted',
  /** None are to be had there at present. */
  Unavailable = 'unavailable',
}

/** Calls to the platform that one daemon makes at a time. Throws `PlatformError`. */
export interface DutyCalls {
  /** A repeat with the same counts has no further effect. */
  reportUsage(
    report: UsageReport,
    proof: DutyProof,
    deadlineAtMs: number,
  ): Promise<void>;
  order(
    order: ScalingOrder,
    proof: DutyProof,
    deadlineAtMs: number,
  ): Promise<OrderOutcome>;
}
