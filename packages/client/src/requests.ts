/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** Request for a chat completion. */
export interface ChatRequest {
  readonly messages: readonly ChatMessage[];
  /** Time by which the answer must be complete, in milliseconds since the Unix epoch. */
  readonly deadlineAtMs: number;
  readonly maxTokens?: number;
  /** Purpose of the request, which the operators' rules match on. */
  readonly kind?: string;
  /** Id of the request; generated where absent. */
  readonly requestId?: string;
}

/** Stream to resume, possibly in another process than the one that started it. */
export interface ResumeRequest {
  readonly requestId: string;
  readonly deadlineAtMs: number;
  /** Id of the last event received; the whole answer is sent where absent. */
  readonly lastEventId?: string;
}

/** Call of a plain service. */
export interface ServiceRequest {
  readonly service: string;
  readonly path: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly deadlineAtMs: number;
  readonly body?: string;
  readonly kind?: string;
  /** Key under which repeated sends of a call take effect once. A call without a key is sent once. */
  readonly idempotencyKey?: string;
}

export interface ServiceResponse {
  readonly status: number;
  readonly body: string;
}

export interface ClientOptions {
  /** URLs of the daemons or of the load balancer, without a trailing slash. */
  readonly addresses: readonly string[];
  /** Bearer token of the workspace. */
  readonly token: string;
  /** Idle timeout, in milliseconds, after which an open stream is resumed on another daemon. */
  readonly silenceTimeoutMs?: number;
  /**
   * Timeout to the first byte, in milliseconds, after which a request is sent to
   * another daemon. Where absent, a quarter of the time left to the deadline.
   */
  readonly firstByteTimeoutMs?: number;
}
