import type { Address } from './topology.js';

export interface JsonCall {
  readonly address: Address;
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly deadlineAtMs: number;
}

export interface JsonAnswer {
  readonly status: number;
  /** Undefined where the answer has no body. */
  readonly body: unknown;
}

/** HTTP calls with JSON bodies. */
export interface JsonHttp {
  /**
   * The answer, whatever its status. Throws `NotSentError` where no byte has
   * left, and `AnswerLostError` where the call may have taken effect.
   */
  exchange(call: JsonCall): Promise<JsonAnswer>;
}
