import type { ClaimRecord } from '../claims/index.js';
import { ClaimError, ClaimState } from '../claims/index.js';
import type { ServiceResponse } from '../ports/index.js';
import { ServiceOutcomeKind } from '../ports/index.js';
import { workspaceOf } from './identify-request.js';
import type { ServiceCallName } from './outcome-query.js';
import { queryServiceOutcome } from './outcome-query.js';
import type { PipelineDependencies } from './pipeline-dependencies.js';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';
import { traitsOf } from './service-traits.js';

const QUERY_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 1_000;

/** Caller's query for the outcome of an earlier call. */
export interface OutcomeRequest {
  readonly bearerToken: string | undefined;
  readonly service: string;
  readonly idempotencyKey: string;
}

/** Outcome of a call. */
export interface CallOutcome {
  readonly outcome: RequestOutcome;
  readonly state: ClaimState;
  readonly requestId: string;
  /** Time after which the response is no longer stored. */
  readonly keepUntilMs: number;
  readonly response?: ServiceResponse;
}

/** Returns the path at which callers query the outcome of a call. */
export function outcomePath(service: string, idempotencyKey: string): string {
  return `/v1/services/${service}/outcomes/${encodeURIComponent(idempotencyKey)}`;
}

/** Reports the outcome of calls made with an `Idempotency-Key`. */
export class ServiceOutcomes {
  constructor(private readonly deps: PipelineDependencies) {}

  /** Returns the recorded outcome, or the one that the service reports if the record leaves it open. Throws `RequestError`. */
  async find(request: OutcomeRequest): Promise<CallOutcome> {
    const workspace = workspaceOf(request, this.deps.tokens);
    const { idempotencyKey, service } = request;
    const call: ServiceCallName = { idempotencyKey, service, workspace };
    const deadlineAtMs = this.deps.clock.nowMs() + QUERY_TIMEOUT_MS;
    const record = await this.findRecord(call, deadlineAtMs);
    if (record === undefined) throw noRecordError(call);
    const { keepUntilMs, requestId, response, state } = record;
    const recorded = { keepUntilMs, requestId };
    if (state === ClaimState.NotRun || response !== undefined) {
      return { ...recorded, outcome: OUTCOME_BY_STATE[state], state, response };
    }
    const confirmed = await this.queryService(call, deadlineAtMs);
    return confirmed === undefined
      ? { ...recorded, outcome: OUTCOME_BY_STATE[state], state }
      : { ...recorded, ...confirmed };
  }

  private async findRecord(
    call: ServiceCallName,
    deadlineAtMs: number,
  ): Promise<ClaimRecord | undefined> {
    const { claims, clock } = this.deps;
    try {
      return await claims.find(
        call.workspace,
        call.idempotencyKey,
        deadlineAtMs,
      );
    } catch (error) {
      if (!(error instanceof ClaimError)) throw error;
      throw recordUnavailableError(error, clock.nowMs() + RETRY_DELAY_MS);
    }
  }

  private async queryService(
    call: ServiceCallName,
    deadlineAtMs: number,
  ): Promise<Pick<CallOutcome, 'outcome' | 'response' | 'state'> | undefined> {
    const traits = traitsOf(this.deps.serviceTraits, call.service);
    if (!traits.answersOutcomes) return undefined;
    const reported = await queryServiceOutcome(this.deps, call, deadlineAtMs);
    if (reported.kind !== ServiceOutcomeKind.Ran) return undefined;
    const { response } = reported;
    return { outcome: RequestOutcome.Ran, state: ClaimState.Ran, response };
  }
}

const OUTCOME_BY_STATE: Record<ClaimState, RequestOutcome> = {
  [ClaimState.Claimed]: RequestOutcome.Unknown,
  [ClaimState.Dispatched]: RequestOutcome.Unknown,
  [ClaimState.Ran]: RequestOutcome.Ran,
  [ClaimState.NotRun]: RequestOutcome.NotRun,
  [ClaimState.Unknown]: RequestOutcome.Unknown,
};

function noRecordError(call: ServiceCallName): RequestError {
  return new RequestError({
    kind: RequestErrorKind.NotFound,
    message: `No call with the key "${call.idempotencyKey}" is recorded.`,
    remedy:
      'Send the call with the same key; after the retention period, check with the service first.',
    outcome: RequestOutcome.Unknown,
  });
}

function recordUnavailableError(
  cause: ClaimError,
  retryAtMs: number,
): RequestError {
  return new RequestError(
    {
      kind: RequestErrorKind.ClaimUnavailable,
      message: 'The record of the call is temporarily unavailable.',
      remedy: 'Query the outcome again after the time in Retry-After.',
      outcome: RequestOutcome.Unknown,
      retryAtMs,
    },
    { cause },
  );
}
