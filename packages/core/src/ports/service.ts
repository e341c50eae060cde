import type { Address } from './topology.js';

export interface ServiceRequest {
  readonly method: string;
  /** Path below the service's root, with its query. */
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  /** Sent as `Idempotency-Key` where the caller gave one. */
  readonly idempotencyKey?: string;
  readonly deadlineAtMs: number;
}

export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export enum ServiceOutcomeKind {
  Ran = 'ran',
  NotRun = 'notRun',
  Unknown = 'unknown',
}

/** What a service says became of a call that it was sent under a key. */
export interface ServiceOutcome {
  readonly kind: ServiceOutcomeKind;
  readonly response?: ServiceResponse;
}

/**
 * Plain services. `call` never retries and never reuses an idle connection.
 * It throws `NotSentError` before the first byte, `AnswerLostError` after it.
 */
export interface Service {
  call(
    address: Address,
    request: ServiceRequest,
    signal: AbortSignal,
  ): Promise<ServiceResponse>;
  /** Asks what became of the call made under the key. */
  outcome(
    address: Address,
    idempotencyKey: string,
    deadlineAtMs: number,
  ): Promise<ServiceOutcome>;
}
