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
import type { PipelineDependencies } from './pipeline-dependencies.js';
import { RepeatableDispatcher } from './repeatable-dispatcher.js';
import type { IdentifiedRequest, ServiceCall } from './request.js';
import { serviceKey, traitsOf } from './service-traits.js';

/** Lowest HTTP status that counts as a failure of the endpoint. */
const MIN_SERVER_ERROR_STATUS = 500;

/** Dispatches calls to endpoints of plain services. */
export class ServiceDispatcher {
  private readonly repeatable: RepeatableDispatcher;
  /** Makes the ids of attempts unique, also of those at an endpoint that is used again. */
  private attemptCount = 0;

  constructor(private readonly deps: PipelineDependencies) {
    const budget = new RetryBudget();
    this.repeatable = new RepeatableDispatcher(
      deps.clock,
      new BudgetedRetryPolicy(budget, deps.random),
      new LookupHedgePolicy(budget),
    );
  }

  /** Dispatches with retries and hedges within the budget; endpoints are reused once all have been tried. */
  dispatchRepeatable(
    call: ServiceCall,
    request: IdentifiedRequest,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const { deadlineAtMs, rule } = request;
    const attempt = (
      triedAddresses: Set<Address>,
      attemptSignal: AbortSignal,
    ) => {
      if (this.choose(call, request, triedAddresses) === undefined)
        triedAddresses.clear();
      return this.dispatch(call, request, triedAddresses, attemptSignal);
    };
    return this.repeatable.run(
      { priority: rule.priority, deadlineAtMs, attempt },
      signal,
    );
  }

  /** Dispatches once, to an endpoint that is not in `excluded`, and adds that endpoint to the set. Throws `PlatformError`. */
  async dispatch(
    call: ServiceCall,
    request: IdentifiedRequest,
    excluded: Set<string>,
    signal: AbortSignal,
  ): Promise<ServiceResponse> {
    const { clock, router, service } = this.deps;
    const endpoint = this.choose(call, request, excluded);
    if (endpoint === undefined) {
      throw new NotSentError(
        `No endpoint of service ${call.service} is accepting work.`,
      );
    }
    excluded.add(endpoint.address);
    this.attemptCount += 1;
    const attempt: Attempt = {
      attemptId: `${request.requestId}.${this.attemptCount}`,
      address: endpoint.address,
      request: createRouteRequest(call, request, excluded),
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
      if (response.status < MIN_SERVER_ERROR_STATUS) end = AttemptEnd.Succeeded;
      return response;
    } catch (error) {
      if (signal.aborted) end = AttemptEnd.Cancelled;
      if (error instanceof RefusedError) {
        end = AttemptEnd.Refused;
        this.recordRefusal(error, endpoint.address);
      }
      throw error;
    } finally {
      router.recordEnd(attempt, { end, generatedTokens: 0 }, clock.nowMs());
    }
  }

  private recordRefusal(error: RefusedError, address: Address): void {
    if (!error.leaving) return;
    const { clock, router } = this.deps;
    router.markLeaving(address, LeavingSource.Refusal, clock.nowMs());
  }

  private choose(
    call: ServiceCall,
    request: IdentifiedRequest,
    excluded: ReadonlySet<string>,
  ): Endpoint | undefined {
    const route = createRouteRequest(call, request, excluded);
    return this.deps.router.choose(route, this.deps.clock.nowMs());
  }

  private keyFor(
    call: ServiceCall,
    request: IdentifiedRequest,
  ): string | undefined {
    if (call.idempotencyKey === undefined) return undefined;
    const traits = traitsOf(this.deps.serviceTraits, call.service);
    return serviceKey(traits, request.workspace, call.idempotencyKey);
  }
}

function createRouteRequest(
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
