/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A chat completion to ask for. */
export interface ChatRequest {
  readonly messages: readonly ChatMessage[];
  /** Time by which the answer is wanted, in milliseconds since the Unix epoch. */
  readonly deadlineAtMs: number;
  readonly maxTokens?: number;
  /** What the request is for; the operators' rules match on it. */
  readonly kind?: string;
  /** Id of the request; a new one is made where it is absent. */
  readonly requestId?: string;
}

/** A stream to go on with in another process than the one that began it. */
export interface ResumeRequest {
  readonly requestId: string;
  readonly deadlineAtMs: number;
  /** Id of the last event received; the whole answer is sent where it is absent. */
  readonly lastEventId?: string;
}

/** A call of a plain service. */
export interface ServiceRequest {
  readonly service: string;
  readonly path: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly deadlineAtMs: number;
  readonly body?: string;
  readonly kind?: string;
  /** The caller's name for one intent. A call without it is sent once. */
  readonly idempotencyKey?: string;
}

export interface ServiceAnswer {
  readonly status: number;
  readonly body: string;
}

export interface ClientOptions {
  /** URLs of daemons or of the balancer, with no trailing slash. */
  readonly addresses: readonly string[];
  /** Bearer token of the workspace. */
  readonly token: string;
  /** Time without a byte after which an open stream is resumed elsewhere, in milliseconds. */
  readonly silenceTimeoutMs?: number;
  /**
   * Time to the first byte after which a request is sent elsewhere, in
   * milliseconds; a quarter of the time left where absent.
   */
  readonly firstByteTimeoutMs?: number;
}
