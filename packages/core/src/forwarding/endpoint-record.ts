import type { Address, DataCentre } from '../ports/index.js';

/** Whether an endpoint accepts new requests. */
export enum EndpointState {
  Ready = 'ready',
  Draining = 'draining',
}

/** Endpoint as listed by the platform. */
export interface EndpointRecord {
  /** Identifies one incarnation of an endpoint. */
  readonly id: string;
  readonly address: Address;
  readonly group: string;
  readonly dataCentre: DataCentre;
  /** Software version. */
  readonly version: string;
  readonly slots: number;
  readonly state: EndpointState;
  /** Remaining warm-up time, during which the endpoint is slow. */
  readonly coldRemainingMs: number;
  readonly isReclaimable: boolean;
  /** Time until the endpoint is reclaimed, if that is announced. */
  readonly leavesInMs: number | undefined;
  /** Start of this incarnation in milliseconds since the Unix epoch. */
  readonly bornAtMs: number | undefined;
}

/** Snapshot of all endpoints at one revision of the store. */
export interface EndpointListing {
  readonly revision: number;
  readonly endpoints: readonly EndpointRecord[];
}
