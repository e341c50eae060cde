import type { DaemonIdentity, DataCentre, Endpoint } from './topology.js';

/** Pricing model of an instance. */
export enum InstanceBilling {
  /** The platform may reclaim the instance after a notice. */
  Reclaimable = 'reclaimable',
  OnDemand = 'onDemand',
}

export enum InstanceState {
  Starting = 'starting',
  Running = 'running',
  /** Shutting down: a reclaim or a stop was announced. */
  Leaving = 'leaving',
  /** Terminated. */
  Terminated = 'gone',
}

/** One machine of the platform. */
export interface Instance {
  readonly id: string;
  readonly machineClass: string;
  readonly dataCentre: DataCentre;
  readonly billing: InstanceBilling;
  readonly state: InstanceState;
}

/** Notice that the platform will reclaim an instance. */
export interface ReclaimNotice {
  readonly instanceId: string;
  /** Earliest time at which the platform may terminate the instance, in milliseconds since the Unix epoch. */
  readonly reclaimAtMs: number;
}

export interface StartRequest {
  readonly machineClass: string;
  readonly dataCentre: DataCentre;
  readonly billing: InstanceBilling;
  /** Idempotency token: starts with the same token yield one instance. */
  readonly clientToken: string;
  readonly deadlineAtMs: number;
}

export enum StartOutcome {
  Started = 'started',
  /** No capacity is available for the machine class, data centre and billing. */
  Refused = 'refused',
}

export interface StartResult {
  readonly outcome: StartOutcome;
  readonly instanceId?: string;
}

/** Current price of a machine class in a data centre. */
export interface Price {
  readonly machineClass: string;
  readonly dataCentre: DataCentre;
  readonly billing: InstanceBilling;
  readonly pricePerHour: number;
}

/** Eventually consistent list of the instances and of the endpoints and daemons that run on them. */
export interface FleetListing {
  /** Time at which the list was current, in milliseconds since the Unix epoch. */
  readonly asOfMs: number;
  readonly instances: readonly Instance[];
  readonly endpoints: readonly Endpoint[];
  /** Daemons of this system; absent where the platform does not list them. */
  readonly daemons?: readonly DaemonIdentity[] | undefined;
}

/** Client of the platform's cloud API. */
export interface CloudClient {
  list(deadlineAtMs: number): Promise<FleetListing>;
  prices(deadlineAtMs: number): Promise<readonly Price[]>;
  start(request: StartRequest): Promise<StartResult>;
  stop(instanceId: string, deadlineAtMs: number): Promise<void>;
  /** Returns the reclaim notices in force for any instance. */
  reclaimNotices(deadlineAtMs: number): Promise<readonly ReclaimNotice[]>;
}
