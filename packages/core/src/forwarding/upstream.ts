import type { EndpointRecord } from './endpoint-record.js';
import type { AnswerTraits, RawHeaders } from './forward-request.js';

/** A request as it goes to one endpoint. */
export interface EndpointCall {
  readonly endpoint: EndpointRecord;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array | undefined;
}

/** Head of an endpoint's answer, and its body as it arrives. */
export interface EndpointAnswer {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly traits: AnswerTraits;
  /** The answer tells its end itself; another one ends with its connection. */
  readonly isFramed: boolean;
  /** Throws where the body ends before it is whole. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Sends requests to endpoints. Aborting the signal drops the connection. */
export interface Upstream {
  /**
   * Throws `NotSentError` where no byte has left, and `AnswerLostError` where
   * the endpoint may have run the request.
   */
  send(call: EndpointCall, signal: AbortSignal): Promise<EndpointAnswer>;
}

/** Where the answer to a caller goes. */
export interface AnswerSink {
  /** An answer that is not framed ends with the caller's connection too, so that it looks no more whole than it was. */
  begin(status: number, headers: RawHeaders, isFramed: boolean): void;
  /** Resolves once the caller's connection takes more, or is gone. */
  write(bytes: Uint8Array): Promise<void>;
  end(): void;
  /** Ends the answer so that it looks broken. */
  destroy(): void;
}
