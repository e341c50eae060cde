/** Address of an endpoint or a daemon as `host:port`; the host is an IP address. */
export type Address = string;

/** Name of a data centre (a zone of the platform). */
export type DataCentre = string;

/** Name of a workspace (the unit of accounting and limits of a customer). */
export type Workspace = string;

/** Kind of back end: a model engine or a plain service. */
export enum EndpointKind {
  Model = 'model',
  Service = 'service',
}

/** Lifecycle stage of an endpoint. Stages change only in this order. */
export enum EndpointStage {
  Warming = 'warming',
  Ready = 'ready',
  /** Draining: to be sent no new requests. */
  Leaving = 'leaving',
  /** Terminated. */
  Terminated = 'gone',
}

/** One back end in the listing of the platform. */
export interface Endpoint {
  readonly address: Address;
  readonly kind: EndpointKind;
  /** Name of the endpoint group that rules route to: a model or a plain service. */
  readonly group: string;
  readonly version: string;
  readonly dataCentre: DataCentre;
  readonly instanceId: string;
  readonly stage: EndpointStage;
}

/** Id, location and addresses of one daemon. */
export interface DaemonIdentity {
  readonly id: string;
  readonly dataCentre: DataCentre;
  readonly peerAddress: Address;
  /** Base URL for callers, without a trailing slash. */
  readonly callerUrl: string;
}
