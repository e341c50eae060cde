import type { ForwardRoute } from './configuration.js';

/** Alternating header names and values, as received. */
export type RawHeaders = readonly string[];

/** Part of a prompt, identified so that requests with common parts can share an endpoint's cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Token usage that a request states in advance. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** Metadata that the protocol reads from the headers of a caller's request. */
export interface RequestMetadata {
  readonly requestId: string | undefined;
  readonly host: string;
  readonly apiKey: string | undefined;
  /** Caller's timeout, from when it sent the request. */
  readonly callerTimeoutMs: number | undefined;
  readonly usage: TokenUsage | undefined;
  /** Parts of the prompt in order; the last one belongs to this request or its session alone, the others may be shared. */
  readonly promptParts: readonly PromptPart[];
  readonly lastEventId: string | undefined;
  /** Output tokens that the caller expects, often far off; absent if it names none. */
  readonly outputTokensHint?: number;
}

/** Caller's request, read completely and not yet dispatched. */
export interface ForwardRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array | undefined;
  readonly metadata: RequestMetadata;
  readonly receivedAtMs: number;
}

/** What is known of a request once its headers are read. */
export type RequestHead = Pick<
  ForwardRequest,
  'metadata' | 'receivedAtMs' | 'target'
>;

/** Returns the time at which the request times out. */
export function deadlineOf(
  { metadata, receivedAtMs }: RequestHead,
  { timeoutMs }: ForwardRoute,
): number {
  const callerTimeoutMs = metadata.callerTimeoutMs ?? Infinity;
  return receivedAtMs + Math.min(callerTimeoutMs, timeoutMs);
}

/** What an endpoint says of itself in a response. */
export interface EndpointStatements {
  /** Requests per second that it accepts from all daemons together; undefined if it names no limit. */
  readonly limitPerSecond: number | undefined;
  /** Rejections per second from which it fails; undefined if it bears any number. */
  readonly maxRejectionsPerSecond: number | undefined;
}

/** Metadata that the protocol reads from an endpoint's response. */
export interface ResponseMetadata extends EndpointStatements {
  /** Id of the request that the response belongs to. */
  readonly requestId: string | undefined;
  /** The endpoint states that it did not execute the request. */
  readonly isNotRun: boolean;
  /** Another endpoint than the expected one has the address; it did not execute the request. */
  readonly isMisdirected: boolean;
  /** The response carries the endpoint's signature. */
  readonly isSigned: boolean;
  /** The body has a content encoding. */
  readonly isEncoded: boolean;
  readonly isEventStream: boolean;
  /** The endpoint is about to end, and wants no further requests. */
  readonly isLeaving: boolean;
  /** Time for which the endpoint wants nothing from this daemon; undefined if it does not ask for a pause. */
  readonly pauseMs: number | undefined;
  readonly load: ReportedLoad | undefined;
  /** Time for which the endpoint says that it stays cold; undefined if it does not say. */
  readonly coldForMs: number | undefined;
}

/** Load that an endpoint reports of itself. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How many times as long as normally work takes there at this moment, 1 is normal; absent if it is not reported. */
  readonly slowdown?: number;
}

/** Metadata that the protocol adds to a request to an endpoint. */
export interface DispatchMetadata {
  readonly remainingMs: number;
  readonly endpointId: string;
  readonly workspace: string | undefined;
  readonly lastEventId: string | undefined;
  /** Priority at the endpoint, 0 first; undefined if the endpoint has no priorities. */
  readonly urgency: number | undefined;
  /** Address of the endpoint from which the prompt is to be fetched; absent if from none. */
  readonly promptSourceAddress?: string;
}

/** Codec for the headers that callers and endpoints use. */
export interface ForwardProtocol {
  readRequest(headers: RawHeaders): RequestMetadata;
  /** Returns the headers of a request to an endpoint. */
  dispatchHeaders(headers: RawHeaders, metadata: DispatchMetadata): RawHeaders;
  readResponse(status: number, headers: RawHeaders): ResponseMetadata;
  /** Returns the headers of an endpoint's response that are forwarded to the caller. */
  responseHeaders(headers: RawHeaders): RawHeaders;
  /** Returns the headers of an error response of the daemon itself; `retryInMs` is given only if the request was not executed. */
  errorHeaders(
    requestId: string | undefined,
    retryInMs: number | undefined,
  ): RawHeaders;
}
