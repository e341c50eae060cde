import type { Endpoint, ServiceOutcome, Workspace } from '../ports/index.js';
import {
  EndpointKind,
  EndpointStage,
  PlatformError,
  ServiceOutcomeKind,
} from '../ports/index.js';
import type { PipelineParts } from './pipeline-parts.js';
import { serviceKey, traitsOf } from './service-traits.js';

/** Most endpoints of a service that one question goes to. */
const MAX_ENDPOINTS_ASKED = 3;

/** Names one call of a plain service. */
export interface ServiceCallName {
  readonly service: string;
  readonly workspace: Workspace;
  readonly idempotencyKey: string;
}

/** Asks the service's endpoints, one after another, whether the call ran. */
export async function queryServiceOutcome(
  parts: PipelineParts,
  call: ServiceCallName,
  deadlineAtMs: number,
): Promise<ServiceOutcome> {
  const traits = traitsOf(parts.serviceTraits, call.service);
  const key = serviceKey(traits, call.workspace, call.idempotencyKey);
  for (const { address } of endpointsOf(parts, call.service)) {
    if (parts.clock.nowMs() >= deadlineAtMs) break;
    try {
      const outcome = await parts.service.outcome(address, key, deadlineAtMs);
      if (outcome.kind === ServiceOutcomeKind.Ran) return outcome;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
    }
  }
  return { kind: ServiceOutcomeKind.Unknown };
}

function endpointsOf(
  parts: PipelineParts,
  service: string,
): readonly Endpoint[] {
  return parts.router
    .endpoints()
    .filter(each => each.kind === EndpointKind.Service)
    .filter(each => each.group === service)
    .filter(each => each.stage !== EndpointStage.Gone)
    .slice(0, MAX_ENDPOINTS_ASKED);
}
