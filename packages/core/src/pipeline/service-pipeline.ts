import { createHash } from 'node:crypto';

import { ClaimError, ClaimErrorKind } from '../claims/index.js';
import type { Endpoint, ServiceResponse } from '../platform/index.js';
import {
  estimateTokens,
  NotSentError,
  PlatformError,
} from '../platform/index.js';
import type { Attempt, RouteRequest } from '../routing/index.js';
import { AttemptEnd } from '../routing/index.js';
import { RepeatPolicy } from '../rules/index.js';
import { admitRequest } from './admit-request.js';
import { identifyRequest } from './identify-request.js';
import type { PipelineParts } from './pipeline-parts.js';
import type { IdentifiedRequest, ServiceCall } from './request.js';
import {
  notRun,
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';

const RETRY_DELAY_MS = 1_000;

/** Serves calls of plain services: identify, admit, route, claim, dispatch, settle. */
export class ServicePipeline {
  constructor(private readonly parts: PipelineParts) {}

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
    const { idempotencyKey } = call;
    try {
      if (request.rule.repeat === RepeatPolicy.Repeatable) {
        return await this.dispatchRepeatable(call, request, signal);
      }
      if (
        request.rule.repeat === RepeatPolicy.Never ||
        idempotencyKey === undefined
      ) {
        return await this.dispatch(call, request, new Set(), signal);
      }
      const intent = {
        workspace: request.workspace,
        idempotencyKey,
        bodyHash: bodyHash(call),
        requestId: request.requestId,
        deadlineAtMs: request.deadlineAtMs,
      };
      return await this.parts.claims.run(intent, () =>
        this.dispatch(call, request, new Set(), signal),
      );
    } catch (error) {
      throw this.toRequestError(error);
    }
  }

  /** Tries each endpoint at most once, in the router's order. */
  private async dispatchRepeatable(
    call: ServiceCall,
    request: IdentifiedRequest,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const excluded = new Set<string>();
    for (;;) {
      try {
        return await this.dispatch(call, request, excluded, signal);
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error;
        if (this.choose(call, request, excluded) === undefined) throw error;
      }
    }
  }

  private async dispatch(
    call: ServiceCall,
    request: IdentifiedRequest,
    excluded: Set<string>,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const { clock, router, service } = this.parts;
    const endpoint = this.choose(call, request, excluded);
    if (endpoint === undefined) {
      throw new NotSentError(
        `No endpoint of service ${call.service} takes work at present.`,
      );
    }
    excluded.add(endpoint.address);
    const attempt: Attempt = {
      attemptId: `${request.requestId}.${excluded.size}`,
      address: endpoint.address,
      request: routeRequest(call, request, excluded),
    };
    router.recordDispatch(attempt, clock.nowMs());
    let end = AttemptEnd.Failed;
    try {
      const response = await service.call(
        endpoint.address,
        {
          method: call.method,
          path: call.path,
          contentType: call.contentType,
          body: call.body,
          idempotencyKey: call.idempotencyKey,
          deadlineAtMs: request.deadlineAtMs,
        },
        signal,
      );
      end = AttemptEnd.Succeeded;
      return response;
    } finally {
      router.recordEnd(attempt, { end, generatedTokens: 0 }, clock.nowMs());
    }
  }

  private choose(
    call: ServiceCall,
    request: IdentifiedRequest,
    excluded: ReadonlySet<string>,
  ): Endpoint | undefined {
    const route = routeRequest(call, request, excluded);
    return this.parts.router.choose(route, this.parts.clock.nowMs());
  }

  private toRequestError(error: unknown): unknown {
    const retryAtMs = this.parts.clock.nowMs() + RETRY_DELAY_MS;
    if (error instanceof ClaimError) return claimFailure(error, retryAtMs);
    if (error instanceof NotSentError) {
      return notRun(
        RequestErrorKind.NoEndpoint,
        error.message,
        'Send the call again after the time in Retry-After.',
        retryAtMs,
      );
    }
    if (!(error instanceof PlatformError)) return error;
    return new RequestError(
      {
        kind: RequestErrorKind.OutcomeUnknown,
        message: error.message,
        remedy:
          'Ask the service what became of the call before sending it again.',
        outcome: RequestOutcome.Unknown,
      },
      { cause: error },
    );
  }
}

function claimFailure(error: ClaimError, retryAtMs: number): RequestError {
  const remedy = error.message;
  switch (error.kind) {
    case ClaimErrorKind.StoreUnavailable:
      return notRun(
        RequestErrorKind.ClaimUnavailable,
        error.message,
        remedy,
        retryAtMs,
      );
    case ClaimErrorKind.NotRun:
      return notRun(
        RequestErrorKind.NoEndpoint,
        error.message,
        remedy,
        retryAtMs,
      );
    case ClaimErrorKind.KeyReused:
      return notRun(RequestErrorKind.KeyReused, error.message, remedy);
    case ClaimErrorKind.InProgress:
      return unknownOutcome(RequestErrorKind.CallInProgress, error);
    case ClaimErrorKind.OutcomeUnknown:
      return unknownOutcome(RequestErrorKind.OutcomeUnknown, error);
  }
}

function unknownOutcome(
  kind: RequestErrorKind,
  error: ClaimError,
): RequestError {
  return new RequestError(
    {
      kind,
      message: error.message,
      remedy: 'Ask for the outcome under the same Idempotency-Key.',
      outcome: RequestOutcome.Unknown,
    },
    { cause: error },
  );
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

function routeRequest(
  call: ServiceCall,
  request: IdentifiedRequest,
  excluded: ReadonlySet<string>,
): RouteRequest {
  return {
    requestId: request.requestId,
    workspace: request.workspace,
    kind: request.kind,
    group: call.service,
    version: request.rule.version,
    promptText: '',
    promptTokens: 0,
    maxTokens: 0,
    priority: request.rule.priority,
    deadlineAtMs: request.deadlineAtMs,
    excluded,
    avoidedDataCentres: new Set(),
  };
}
