/** Address of an endpoint or a daemon as `host:port`, by IP number. */
export type Address = string;

/** Name of a data centre (the platform's zone). */
export type DataCentre = string;

/** Name of a workspace (a customer's unit of accounting and limits). */
export type Workspace = string;

export enum EndpointKind {
  Model = 'model',
  Service = 'service',
}

/** Where an endpoint stands in its life. Stages only follow one another in this order. */
export enum EndpointStage {
  Warming = 'warming',
  Ready = 'ready',
  Leaving = 'leaving',
  Gone = 'gone',
}

/** One back end, as the platform lists it. */
export interface Endpoint {
  readonly address: Address;
  readonly kind: EndpointKind;
  /** Name of the group that rules route to: a model or a plain service. */
  readonly group: string;
  readonly version: string;
  readonly dataCentre: DataCentre;
  readonly instanceId: string;
  readonly stage: EndpointStage;
}

/** One daemon of the system. */
export interface DaemonIdentity {
  readonly id: string;
  readonly dataCentre: DataCentre;
  readonly peerAddress: Address;
  /** Base of the URL that callers reach it by, with no trailing slash. */
  readonly callerUrl: string;
}
