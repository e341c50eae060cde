import type { DispatchMetadata, RawHeaders } from './forward-request.js';
import type { ForwarderDependencies } from './forwarder.js';
import { priorityOf } from './gated-call.js';
import type { PoolReservation } from './pool-reservation.js';
import type { RunContext } from './run-context.js';

/** Greatest number that stands for a priority at engines. */
const MAX_URGENCY = 9; // as the users specify

/** Returns the headers of a request to the endpoint that was reserved for it. */
export function dispatchHeadersOf(
  deps: Pick<ForwarderDependencies, 'protocol' | 'sendsPriority'>,
  context: RunContext,
  { endpoint, promptSource }: PoolReservation,
  attempt: Pick<DispatchMetadata, 'lastEventId' | 'remainingMs'>,
): RawHeaders {
  const { request, resolved } = context;
  return deps.protocol.dispatchHeaders(request.headers, {
    ...attempt,
    endpointId: endpoint.id,
    workspace: resolved.workspace?.workspace,
    urgency: urgencyOf(deps, context),
    ...(promptSource && { promptSourceAddress: promptSource.endpoint.address }),
  });
}

/** Returns the priority that engines are told; undefined if they are told none. */
function urgencyOf(
  { sendsPriority }: Pick<ForwarderDependencies, 'sendsPriority'>,
  context: RunContext,
): number | undefined {
  if (sendsPriority?.() !== true) return undefined;
  return Math.min(priorityOf(context), MAX_URGENCY);
}
