import type { EndpointRecord } from './endpoint-record.js';
import type { RawHeaders, ResponseMetadata } from './forward-request.js';

/** Request to one endpoint. */
export interface EndpointRequest {
  readonly endpoint: EndpointRecord;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array | undefined;
  /** Whether the endpoint still accepts new requests; asked when a new connection is established. */
  readonly isEndpointUsable: () => boolean;
  /** Whether the request may still be written; asked once, right before it is. */
  readonly mayWrite?: () => boolean;
}

/** Response of an endpoint: status, headers and a streamed body. */
export interface EndpointResponse {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly metadata: ResponseMetadata;
  /** The body is delimited by its length or by chunked encoding; otherwise it ends when the connection closes, which an endpoint that crashes may do in order. */
  readonly isFramed: boolean;
  /** Throws if the body is truncated. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Client that sends requests to endpoints. Aborting the signal closes the connection. */
export interface Upstream {
  /**
   * Throws `NotSentError` if no byte was sent, also where the endpoint is no
   * longer usable once a connection to it is established, and `AnswerLostError` if the
   * endpoint may have executed the request.
   */
  send(call: EndpointRequest, signal: AbortSignal): Promise<EndpointResponse>;
  /** Whether nothing listens on the endpoint's address; false if that cannot be determined. */
  refusesConnections(endpoint: EndpointRecord): Promise<boolean>;
  /** Whether no request can reach the endpoint: it refuses each new connection, or ends it before a request is sent. */
  dropsConnections(endpoint: EndpointRecord): Promise<boolean>;
  /** Whether the endpoint accepts a new connection within the time in which one on the same network does. */
  acceptsConnections(endpoint: EndpointRecord): Promise<boolean>;
}

/** Writer of the response to a caller. */
export interface ResponseWriter {
  /** The response is framed, so that it looks truncated also where this process is killed within it. */
  begin(status: number, headers: RawHeaders): void;
  /** Returns a promise that resolves once the caller's connection accepts more data, or is closed; undefined if it accepts more already. */
  write(bytes: Uint8Array): Promise<void> | undefined;
  end(): void;
  /** Aborts the connection, so that the caller sees a truncated response. */
  destroy(): void;
}
