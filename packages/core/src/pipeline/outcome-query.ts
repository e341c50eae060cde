import type { Endpoint, ServiceOutcome, Workspace } from '../ports/index.js';
import {
  EndpointKind,
  EndpointStage,
  PlatformError,
  ServiceOutcomeKind,
} from '../ports/index.js';
import type { PipelineDependencies } from './pipeline-dependencies.js';
import { serviceKey, traitsOf } from './service-traits.js';

/** Maximum number of endpoints of a service that one query asks. */
const MAX_QUERIED_ENDPOINTS = 3;

/** Identifies one call of a plain service. */
export interface ServiceCallName {
  readonly service: string;
  readonly workspace: Workspace;
  readonly idempotencyKey: string;
}

/**
 * Asks the endpoints of the service, one after another, whether the call ran.
 * Endpoints that fail to answer are skipped; the outcome is unknown if none
 * confirms the call.
 */
export async function queryServiceOutcome(
  deps: PipelineDependencies,
  call: ServiceCallName,
  deadlineAtMs: number,
): Promise<ServiceOutcome> {
  const traits = traitsOf(deps.serviceTraits, call.service);
  const key = serviceKey(traits, call.workspace, call.idempotencyKey);
  for (const { address } of endpointsOf(deps, call.service)) {
    if (deps.clock.nowMs() >= deadlineAtMs) break;
    try {
      const outcome = await deps.service.outcome(address, key, deadlineAtMs);
      if (outcome.kind === ServiceOutcomeKind.Ran) return outcome;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
    }
  }
  return { kind: ServiceOutcomeKind.Unknown };
}

function endpointsOf(
  deps: PipelineDependencies,
  service: string,
): readonly Endpoint[] {
  return deps.router
    .endpoints()
    .filter(endpoint => endpoint.kind === EndpointKind.Service)
    .filter(endpoint => endpoint.group === service)
    .filter(endpoint => endpoint.stage !== EndpointStage.Terminated)
    .slice(0, MAX_QUERIED_ENDPOINTS);
}
