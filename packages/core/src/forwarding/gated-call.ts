import type { AttemptHistory, AttemptRecord } from './attempt-history.js';
import { AttemptEndKind } from './attempt-outcome.js';
import { dataCentreBarrierError } from './data-centre-gate.js';
import type { GatePass } from './dispatch-gate.js';
import { endpointScopeOf } from './endpoint-scope.js';
import {
  homeRegionsChangedError,
  requestBlockedError,
} from './forward-error.js';
import type { ForwarderDependencies } from './forwarder.js';
import { includesAll } from './home-regions.js';
import { resolveRequest } from './resolve-request.js';
import type { RunContext } from './run-context.js';

/**
 * Opens the place of a request in the queue of its group. Undefined if there is
 * no queue, or if a peer passed the request on, where it has waited.
 */
export function openPass(
  deps: ForwarderDependencies,
  context: RunContext,
  deadlineAtMs: number,
): GatePass | undefined {
  const { configuration, crashGuard, dataCentres, dispatchGate, pool } = deps;
  const { group, homes, relayed, request, resolved } = context;
  if (relayed !== undefined) return undefined;
  const { body, metadata, receivedAtMs, requestId, target } = request;
  const { route, workspace } = resolved;
  return dispatchGate?.open({
    requestId,
    group,
    route: route.name,
    workspace: workspace?.workspace ?? '',
    priority: priorityOf(context),
    receivedAtMs,
    objectiveAtMs: receivedAtMs + route.latencyObjectiveMs,
    deadlineAtMs,
    bytes: body?.byteLength ?? 0,
    scope: [...(homes?.endpointDataCentres ?? [])].sort().join(),
    closedForMs: nowMs =>
      pool.busyForMs(group, nowMs, endpointScopeOf(deps, context)),
    recheck: () => {
      const { homeRegions } = resolveRequest(configuration, metadata, target);
      if (!includesAll(homeRegions, resolved.homeRegions))
        throw homeRegionsChangedError();
      const barrier = dataCentres.findBarrier(group, homes);
      if (barrier !== undefined) throw dataCentreBarrierError(barrier, group);
      const blockedForMs = crashGuard.blockedForMs(context.suspectIds);
      if (blockedForMs !== undefined) throw requestBlockedError(blockedForMs);
    },
  });
}

/**
 * Tells the queue if the last attempt, sent at `sentAtMs`, is the first one that an
 * endpoint rejected. Further rejections of a request show no more of the group's
 * capacity; those at a peer's endpoints are counted there.
 */
export function recordFirstRejection(
  { dispatchGate }: ForwarderDependencies,
  { group }: RunContext,
  { all }: AttemptHistory,
  sentAtMs: number,
): void {
  const isRejected = ({ end, isPeer }: AttemptRecord) =>
    end === AttemptEndKind.NotRun && !isPeer;
  const first = all.find(isRejected);
  if (first !== undefined && first === all.at(-1))
    dispatchGate?.recordRejection(group, sentAtMs);
}

/** Returns the priority of a request's workspace, else of its route; 0 is the highest. */
export function priorityOf({ resolved }: RunContext): number {
  const { route, workspace } = resolved;
  return workspace?.priority ?? route.priority;
}
