/** Header names and values in turn, as they were received. */
export type RawHeaders = readonly string[];

/** One part of a prompt; requests share parts. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Tokens that a request states it uses. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** What the headers of a caller's request say. */
export interface CallerTraits {
  readonly requestId: string | undefined;
  readonly host: string;
  readonly apiKey: string | undefined;
  /** Time that the caller will wait from when it sent the request. */
  readonly waitsMs: number | undefined;
  readonly usage: TokenUsage | undefined;
  /** Parts of the prompt in order; the last one is the request's or its session's own. */
  readonly promptParts: readonly PromptPart[];
  readonly lastEventId: string | undefined;
}

/** A caller's request, read whole and not yet dispatched. */
export interface ForwardRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Uint8Array | undefined;
  readonly traits: CallerTraits;
  readonly receivedAtMs: number;
}

/** What the headers of an endpoint's answer say. */
export interface AnswerTraits {
  /** The request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** The endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Another endpoint than the expected one has the address; it did not run the request. */
  readonly isMisdirected: boolean;
  /** The answer carries the endpoint's signature. */
  readonly isSigned: boolean;
  readonly isEncoded: boolean;
  readonly isEventStream: boolean;
  readonly load: ReportedLoad | undefined;
}

/** Requests at an endpoint, as it states them. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What the system adds to a request that it sends to an endpoint. */
export interface DispatchTraits {
  readonly remainingMs: number;
  readonly endpointId: string;
  readonly workspace: string | undefined;
  readonly lastEventId: string | undefined;
  /** Rank at the endpoint, 0 first; undefined where the endpoint has none. */
  readonly urgency: number | undefined;
}

/** Reads and writes the headers that callers and endpoints use. */
export interface ForwardProtocol {
  readCaller(headers: RawHeaders): CallerTraits;
  /** Headers of a request to an endpoint. */
  dispatchHeaders(headers: RawHeaders, traits: DispatchTraits): RawHeaders;
  readAnswer(status: number, headers: RawHeaders): AnswerTraits;
  /** Headers of an endpoint's answer that go on to the caller. */
  answerHeaders(headers: RawHeaders): RawHeaders;
  /** Headers of an answer of the system itself; `retryInMs` only where nothing has run. */
  errorHeaders(
    requestId: string | undefined,
    retryInMs: number | undefined,
  ): RawHeaders;
}
