import type { ClaimRecord } from '../claims/index.js';
import { ClaimError, ClaimState } from '../claims/index.js';
import type { ServiceResponse } from '../ports/index.js';
import { ServiceOutcomeKind } from '../ports/index.js';
import { workspaceOf } from './identify-request.js';
import type { ServiceCallName } from './outcome-query.js';
import { queryServiceOutcome } from './outcome-query.js';
import type { PipelineParts } from './pipeline-parts.js';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';
import { traitsOf } from './service-traits.js';

const QUERY_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 1_000;

/** A caller's question about a call that it made before. */
export interface OutcomeRequest {
  readonly bearerToken: string | undefined;
  readonly service: string;
  readonly idempotencyKey: string;
}

/** What became of a call. */
export interface CallOutcome {
  readonly outcome: RequestOutcome;
  readonly state: ClaimState;
  readonly requestId: string;
  /** Time after which the answer is no longer kept. */
  readonly keepUntilMs: number;
  readonly response?: ServiceResponse;
}

/** Path at which callers ask for the outcome of a call. */
export function outcomePath(service: string, idempotencyKey: string): string {
  return `/v1/services/${service}/outcomes/${encodeURIComponent(idempotencyKey)}`;
}

/** Tells callers what became of calls made under an `Idempotency-Key`. */
export class ServiceOutcomes {
  constructor(private readonly parts: PipelineParts) {}

  /** The outcome on record, or as the service tells it. Throws `RequestError`. */
  async find(request: OutcomeRequest): Promise<CallOutcome> {
    const workspace = workspaceOf(request, this.parts.tokens);
    const call = { ...request, workspace };
    const deadlineAtMs = this.parts.clock.nowMs() + QUERY_TIMEOUT_MS;
    const record = await this.findRecord(call, deadlineAtMs);
    if (record === undefined) throw noRecord(call);
    const { keepUntilMs, requestId, response, state } = record;
    const known = { keepUntilMs, requestId };
    if (state === ClaimState.NotRun || response !== undefined) {
      return { ...known, outcome: OUTCOME_OF_STATE[state], state, response };
    }
    const ran = await this.askService(call, deadlineAtMs);
    return ran === undefined
      ? { ...known, outcome: OUTCOME_OF_STATE[state], state }
      : { ...known, ...ran };
  }

  private async findRecord(
    call: ServiceCallName,
    deadlineAtMs: number,
  ): Promise<ClaimRecord | undefined> {
    const { claims, clock } = this.parts;
    try {
      return await claims.find(
        call.workspace,
        call.idempotencyKey,
        deadlineAtMs,
      );
    } catch (error) {
      if (!(error instanceof ClaimError)) throw error;
      throw recordUnavailable(error, clock.nowMs() + RETRY_DELAY_MS);
    }
  }

  private async askService(
    call: ServiceCallName,
    deadlineAtMs: number,
  ): Promise<Pick<CallOutcome, 'outcome' | 'response' | 'state'> | undefined> {
    const traits = traitsOf(this.parts.serviceTraits, call.service);
    if (!traits.answersOutcomes) return undefined;
    const told = await queryServiceOutcome(this.parts, call, deadlineAtMs);
    if (told.kind !== ServiceOutcomeKind.Ran) return undefined;
    const { response } = told;
    return { outcome: RequestOutcome.Ran, state: ClaimState.Ran, response };
  }
}

const OUTCOME_OF_STATE: Record<ClaimState, RequestOutcome> = {
  [ClaimState.Claimed]: RequestOutcome.Unknown,
  [ClaimState.Dispatched]: RequestOutcome.Unknown,
  [ClaimState.Ran]: RequestOutcome.Ran,
  [ClaimState.NotRun]: RequestOutcome.NotRun,
  [ClaimState.Unknown]: RequestOutcome.Unknown,
};

function noRecord(call: ServiceCallName): RequestError {
  return new RequestError({
    kind: RequestErrorKind.NotFound,
    message: `No call under the key "${call.idempotencyKey}" is on record.`,
    remedy:
      'Send the call under the same key; past the retention, ask the service first.',
    outcome: RequestOutcome.Unknown,
  });
}

function recordUnavailable(cause: ClaimError, retryAtMs: number): RequestError {
  return new RequestError(
    {
      kind: RequestErrorKind.ClaimUnavailable,
      message: 'The record of the call cannot be read at present.',
      remedy: 'Ask again after the time in Retry-After.',
      outcome: RequestOutcome.Unknown,
      retryAtMs,
    },
    { cause },
  );
}
