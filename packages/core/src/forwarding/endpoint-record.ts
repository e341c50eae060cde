import type { Address, DataCentre } from '../ports/index.js';

/** Whether an endpoint takes new work. */
export enum EndpointState {
  Ready = 'ready',
  Draining = 'draining',
}

/** One endpoint as the platform lists it. */
export interface EndpointRecord {
  /** Names one lifetime of one endpoint. */
  readonly id: string;
  readonly address: Address;
  readonly group: string;
  readonly dataCentre: DataCentre;
  /** Version of its software. */
  readonly version: string;
  readonly slots: number;
  readonly state: EndpointState;
  /** Time for which it is still slow after its start. */
  readonly coldRemainingMs: number;
  readonly isReclaimable: boolean;
  /** Time until it is taken away, where that is announced. */
  readonly leavesInMs: number | undefined;
  /** Start of this lifetime in milliseconds since the Unix epoch. */
  readonly bornAtMs: number | undefined;
}

/** All endpoints at one revision of the store. */
export interface EndpointListing {
  readonly revision: number;
  readonly endpoints: readonly EndpointRecord[];
}
