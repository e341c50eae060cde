import { createHash } from 'node:crypto';

import type { OutcomeQuery } from '../claims/index.js';
import { ClaimError } from '../claims/index.js';
import type { ServiceResponse } from '../ports/index.js';
import { estimateTokens, PlatformError } from '../ports/index.js';
import { RepeatPolicy } from '../rules/index.js';
import { admitRequest } from './admit-request.js';
import { identifyRequest } from './identify-request.js';
import { queryServiceOutcome } from './outcome-query.js';
import type { PipelineDependencies } from './pipeline-dependencies.js';
import type { IdentifiedRequest, ServiceCall } from './request.js';
import type { RequestError } from './request-error.js';
import { notRunError, RequestErrorKind } from './request-error.js';
import { ServiceDispatcher } from './service-dispatcher.js';
import {
  requestErrorFromClaim,
  requestErrorFromDispatch,
} from './service-failures.js';
import { outcomePath } from './service-outcomes.js';
import { traitsOf } from './service-traits.js';

const RETRY_DELAY_MS = 1_000;

/** Serves calls of plain services: identify, admit, route, claim, dispatch, settle. */
export class ServicePipeline {
  private readonly dispatcher: ServiceDispatcher;

  constructor(private readonly deps: PipelineDependencies) {
    this.dispatcher = new ServiceDispatcher(deps);
  }

  /** Returns the response of the service. Throws `RequestError`. */
  async run(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
    const { admission, clock, rules, tokens } = this.deps;
    const request = identifyRequest(call, tokens, rules, clock.nowMs());
    if (request.rule.group !== call.service)
      throw wrongServiceError(call, request);
    const demand = { promptTokens: estimateTokens(call.body), maxTokens: 0 };
    const ticket = await admitRequest(admission, request, demand, signal);
    try {
      return await this.dispatchByPolicy(call, request, signal);
    } finally {
      ticket.release(0, clock.nowMs());
    }
  }

  private async dispatchByPolicy(
    call: ServiceCall,
    request: IdentifiedRequest,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const { dispatcher } = this;
    try {
      switch (request.rule.repeat) {
        case RepeatPolicy.Repeatable:
          return await dispatcher.dispatchRepeatable(call, request, signal);
        case RepeatPolicy.Never:
          return await dispatcher.dispatch(call, request, new Set(), signal);
        case RepeatPolicy.ByKey:
          return await this.dispatchByKey(call, request, signal);
      }
    } catch (error) {
      throw this.toRequestError(error, call);
    }
  }

  private dispatchByKey(
    call: ServiceCall,
    request: IdentifiedRequest,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const { idempotencyKey } = call;
    const dispatch = () =>
      this.dispatcher.dispatch(call, request, new Set(), signal);
    if (idempotencyKey === undefined) return dispatch();
    const traits = traitsOf(this.deps.serviceTraits, call.service);
    const intent = {
      workspace: request.workspace,
      idempotencyKey,
      bodyHash: bodyHash(call),
      requestId: request.requestId,
      deadlineAtMs: request.deadlineAtMs,
      deduplicatedByService: traits.deduplicatesByKey,
    };
    const query: OutcomeQuery = deadlineAtMs =>
      queryServiceOutcome(
        this.deps,
        { ...intent, service: call.service },
        deadlineAtMs,
      );
    return this.deps.claims.run(
      intent,
      dispatch,
      traits.answersOutcomes ? query : undefined,
    );
  }

  private toRequestError(error: unknown, call: ServiceCall): unknown {
    const retryAtMs = this.deps.clock.nowMs() + RETRY_DELAY_MS;
    if (error instanceof ClaimError) {
      const path = outcomePath(call.service, call.idempotencyKey ?? '');
      return requestErrorFromClaim(error, path, retryAtMs);
    }
    return error instanceof PlatformError
      ? requestErrorFromDispatch(error, retryAtMs)
      : error;
  }
}

function wrongServiceError(
  call: ServiceCall,
  request: IdentifiedRequest,
): RequestError {
  return notRunError(
    RequestErrorKind.NotFound,
    `Requests of kind "${request.kind}" are not routed to service ${call.service}.`,
    `Call service ${request.rule.group}, or send a different kind.`,
  );
}

function bodyHash(call: ServiceCall): string {
  return createHash('sha256')
    .update(JSON.stringify([call.service, call.method, call.path, call.body]))
    .digest('base64url');
}
