import { createHash } from 'node:crypto';

import type { OutcomeQuery } from '../claims/index.js';
import { ClaimError } from '../claims/index.js';
import type { ServiceResponse } from '../ports/index.js';
import { estimateTokens, PlatformError } from '../ports/index.js';
import { RepeatPolicy } from '../rules/index.js';
import { admitRequest } from './admit-request.js';
import { identifyRequest } from './identify-request.js';
import { queryServiceOutcome } from './outcome-query.js';
import type { PipelineParts } from './pipeline-parts.js';
import type { IdentifiedRequest, ServiceCall } from './request.js';
import type { RequestError } from './request-error.js';
import { notRun, RequestErrorKind } from './request-error.js';
import { ServiceDispatcher } from './service-dispatcher.js';
import { claimFailure, dispatchFailure } from './service-failures.js';
import { outcomePath } from './service-outcomes.js';
import { traitsOf } from './service-traits.js';

const RETRY_DELAY_MS = 1_000;

/** Serves calls of plain services: identify, admit, route, claim, dispatch, settle. */
export class ServicePipeline {
  private readonly dispatcher: ServiceDispatcher;

  constructor(private readonly parts: PipelineParts) {
    this.dispatcher = new ServiceDispatcher(parts);
  }

  /** The service's answer. Throws `RequestError`. */
  async run(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
    const { admission, clock, rules, tokens } = this.parts;
    const request = identifyRequest(call, tokens, rules, clock.nowMs());
    if (request.rule.group !== call.service) throw wrongService(call, request);
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
    const traits = traitsOf(this.parts.serviceTraits, call.service);
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
        this.parts,
        { ...intent, service: call.service },
        deadlineAtMs,
      );
    return this.parts.claims.run(
      intent,
      dispatch,
      traits.answersOutcomes ? query : undefined,
    );
  }

  private toRequestError(error: unknown, call: ServiceCall): unknown {
    const retryAtMs = this.parts.clock.nowMs() + RETRY_DELAY_MS;
    if (error instanceof ClaimError) {
      const path = outcomePath(call.service, call.idempotencyKey ?? '');
      return claimFailure(error, path, retryAtMs);
    }
    return error instanceof PlatformError
      ? dispatchFailure(error, retryAtMs)
      : error;
  }
}

function wrongService(
  call: ServiceCall,
  request: IdentifiedRequest,
): RequestError {
  return notRun(
    RequestErrorKind.NotFound,
    `Requests of kind "${request.kind}" do not go to service ${call.service}.`,
    `Call service ${request.rule.group}, or send another kind.`,
  );
}

function bodyHash(call: ServiceCall): string {
  return createHash('sha256')
    .update(JSON.stringify([call.service, call.method, call.path, call.body]))
    .digest('base64url');
}
