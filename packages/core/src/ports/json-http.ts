import type { Address } from './topology.js';

/** HTTP request with a JSON body. */
export interface JsonRequest {
  readonly address: Address;
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Path with its query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly deadlineAtMs: number;
  /** Whether to open a new connection that serves this call alone. */
  readonly freshConnection?: boolean;
  /** Asked right before the request is written, once its connection is established; if it returns false, the request is not sent. */
  readonly mayWrite?: () => boolean;
}

/** HTTP response with its parsed JSON body. */
export interface JsonResponse {
  readonly status: number;
  /** Values by lower-case name. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Undefined where the response has no body. */
  readonly body: unknown;
}

/** HTTP client for JSON bodies. */
export interface JsonHttpClient {
  /**
   * Sends a request and returns the response whatever its status. Throws
   * `NotSentError` where no byte was sent, and `AnswerLostError` where the request
   * may have taken effect.
   */
  exchange(call: JsonRequest): Promise<JsonResponse>;
}
