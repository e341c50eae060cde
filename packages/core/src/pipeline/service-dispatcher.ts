import type { Address, Endpoint, ServiceResponse } from '../ports/index.js';
import { NotSentError, RefusedError } from '../ports/index.js';
import type { Attempt, RouteRequest } from '../routing/index.js';
import {
  AttemptEnd,
  BudgetedRetryPolicy,
  LeavingSource,
  LookupHedgePolicy,
  RetryBudget,
} from '../routing/index.js';
import type { PipelineParts } from './pipeline-parts.js';
import { RepeatableDispatch } from './repeatable-dispatch.js';
import type { IdentifiedRequest, ServiceCall } from './request.js';
import { serviceKey, traitsOf } from './service-traits.js';

/** Least status of an answer that counts as the endpoint's failure. */
const SERVER_ERROR_STATUS = 500;

/** Sends calls to endpoints of plain services. */
export class ServiceDispatcher {
  private readonly repeatable: RepeatableDispatch;

  constructor(private readonly parts: PipelineParts) {
    const budget = new RetryBudget();
    this.repeatable = new RepeatableDispatch(
      parts.clock,
      new BudgetedRetryPolicy(budget, parts.random),
      new LookupHedgePolicy(budget),
    );
  }

  /** Retries and hedges under the budget; begins anew once every endpoint was tried. */
  dispatchRepeatable(
    call: ServiceCall,
    request: IdentifiedRequest,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const { deadlineAtMs, rule } = request;
    const attempt = (tried: Set<Address>, attemptSignal: AbortSignal) => {
      if (this.choose(call, request, tried) === undefined) tried.clear();
      return this.dispatch(call, request, tried, attemptSignal);
    };
    return this.repeatable.run(
      { priority: rule.priority, deadlineAtMs, attempt },
      signal,
    );
  }

  /** One dispatch, outside the endpoints in `excluded`. Throws as a service does. */
  async dispatch(
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
          idempotencyKey: this.keyFor(call, request),
          deadlineAtMs: request.deadlineAtMs,
        },
        signal,
      );
      if (response.status < SERVER_ERROR_STATUS) end = AttemptEnd.Succeeded;
      return response;
    } catch (error) {
      if (signal.aborted) end = AttemptEnd.Cancelled;
      if (error instanceof RefusedError) {
        end = AttemptEnd.Refused;
        this.noteRefusal(error, endpoint.address);
      }
      throw error;
    } finally {
      router.recordEnd(attempt, { end, generatedTokens: 0 }, clock.nowMs());
    }
  }

  private noteRefusal(error: RefusedError, address: Address): void {
    if (!error.leaving) return;
    const { clock, router } = this.parts;
    router.markLeaving(address, LeavingSource.Refusal, clock.nowMs());
  }

  private choose(
    call: ServiceCall,
    request: IdentifiedRequest,
    excluded: ReadonlySet<string>,
  ): Endpoint | undefined {
    const route = routeRequest(call, request, excluded);
    return this.parts.router.choose(route, this.parts.clock.nowMs());
  }

  private keyFor(
    call: ServiceCall,
    request: IdentifiedRequest,
  ): string | undefined {
    if (call.idempotencyKey === undefined) return undefined;
    const traits = traitsOf(this.parts.serviceTraits, call.service);
    return serviceKey(traits, request.workspace, call.idempotencyKey);
  }
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
