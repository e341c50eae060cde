import type { Address } from './topology.js';

/** HTTP request to a plain service. */
export interface ServiceRequest {
  readonly method: string;
  /** Path below the root of the service, with its query. */
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  /** Sent as the `Idempotency-Key` header; absent where the caller gave none. */
  readonly idempotencyKey?: string;
  readonly deadlineAtMs: number;
}

/** HTTP response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Whether a call was executed. */
export enum ServiceOutcomeKind {
  Ran = 'ran',
  NotRun = 'notRun',
  Unknown = 'unknown',
}

/** Outcome of a call with an idempotency key, as reported by the service. */
export interface ServiceOutcome {
  readonly kind: ServiceOutcomeKind;
  readonly response?: ServiceResponse;
}

/**
 * Client of the plain services. `call` never retries and never reuses an idle
 * connection. It throws `NotSentError` for a failure before the first byte and
 * `AnswerLostError` after it.
 */
export interface ServiceClient {
  call(
    address: Address,
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceResponse>;
  /** Queries the outcome of the call with an idempotency key. */
  outcome(
    address: Address,
    idempotencyKey: string,
    deadlineAtMs: number,
  ): Promise<ServiceOutcome>;
}
