import type { DispatchMetadata, RawHeaders } from './forward-request.js';
import type { ForwarderDependencies } from './forwarder.js';
import { priorityOf } from './gated-call.js';
import type { RunContext } from './run-context.js';

/** Greatest number that stands for a priority at engines. */
const MAX_URGENCY = 9; // as the users specify

/** Returns the headers of a request to an endpoint. */
export function dispatchHeadersOf(
  deps: Pick<ForwarderDependencies, 'protocol' | 'sendsPriority'>,
  context: RunContext,
  attempt: Omit<DispatchMetadata, 'urgency' | 'workspace'>,
): RawHeaders {
  const { request, resolved } = context;
  return deps.protocol.dispatchHeaders(request.headers, {
    ...attempt,
    workspace: resolved.workspace?.workspace,
    urgency: urgencyOf(deps, context),
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
