import type { DaemonIdentity, DataCentre, Endpoint } from './topology.js';

export enum InstanceBilling {
  Reclaimable = 'reclaimable',
  OnDemand = 'onDemand',
}

export enum InstanceState {
  Starting = 'starting',
  Running = 'running',
  /** A reclaim or a stop was announced. */
  Leaving = 'leaving',
  Gone = 'gone',
}

export interface Instance {
  readonly id: string;
  readonly machineClass: string;
  readonly dataCentre: DataCentre;
  readonly billing: InstanceBilling;
  readonly state: InstanceState;
}

export interface ReclaimNotice {
  readonly instanceId: string;
  /** The instance may be taken from this time on. */
  readonly reclaimAtMs: number;
}

export interface StartRequest {
  readonly machineClass: string;
  readonly dataCentre: DataCentre;
  readonly billing: InstanceBilling;
  /** Repeated starts with one token yield one instance. */
  readonly clientToken: string;
  readonly deadlineAtMs: number;
}

export enum StartOutcome {
  Started = 'started',
  /** No capacity for this class, data centre and billing at present. */
  Refused = 'refused',
}

export interface StartResult {
  readonly outcome: StartOutcome;
  readonly instanceId?: string;
}

export interface Price {
  readonly machineClass: string;
  readonly dataCentre: DataCentre;
  readonly billing: InstanceBilling;
  readonly pricePerHour: number;
}

/** The lagging list of live and leaving instances and what runs on them. */
export interface FleetListing {
  /** Time that the list describes; it lags behind the present. */
  readonly asOfMs: number;
  readonly instances: readonly Instance[];
  readonly endpoints: readonly Endpoint[];
  /** Daemons of the system; absent where the platform does not list them. */
  readonly daemons?: readonly DaemonIdentity[] | undefined;
}

/** The platform's cloud API. */
export interface Cloud {
  list(deadlineAtMs: number): Promise<FleetListing>;
  prices(deadlineAtMs: number): Promise<readonly Price[]>;
  start(request: StartRequest): Promise<StartResult>;
  stop(instanceId: string, deadlineAtMs: number): Promise<void>;
  /** Notices that are in force for any instance. */
  reclaimNotices(deadlineAtMs: number): Promise<readonly ReclaimNotice[]>;
}
