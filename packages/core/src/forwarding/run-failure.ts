import { AttemptEndKind } from './attempt-outcome.js';
import type { DataCentreBarrier } from './data-centre-gate.js';
import { dataCentreBarrierError } from './data-centre-gate.js';
import { endpointScopeOf } from './endpoint-scope.js';
import {
  ForwardError,
  ForwardErrorKind,
  timedOutNotRunError,
} from './forward-error.js';
import type { ForwarderDependencies } from './forwarder.js';
import type { RunContext } from './run-context.js';

/** State of a run that ended without a response. */
interface RunFailure {
  readonly group: string;
  /** Why no data centre may serve the request; undefined if one may. */
  readonly barrier: DataCentreBarrier | undefined;
  readonly isTimedOut: boolean;
  readonly mayHaveRun: boolean;
  /** How the last attempt ended; undefined if there was none. */
  readonly last: AttemptEndKind | undefined;
  /** Returns the milliseconds after which the caller may return if all endpoints have reached their rate limits; undefined if they have not. */
  readonly limitedForMs: () => number | undefined;
  /** Returns the milliseconds until one of the endpoints may be sent a request; undefined if one may be now. */
  readonly busyForMs: () => number | undefined;
}

/** Retry delay after endpoints refused a request. */
const OVERLOADED_RETRY_MS = 300;
/** Retry delay after a group had no reachable endpoint. */
const NO_ENDPOINT_RETRY_MS = 500;

/** Returns the error by which the daemon itself answers a request whose run ended without a response. */
export function createRunError(
  deps: ForwarderDependencies,
  context: RunContext,
  end: Pick<RunFailure, 'isTimedOut' | 'last' | 'mayHaveRun'>,
): ForwardError {
  const { clock, dataCentres, pool } = deps;
  const { group, homes } = context;
  const scope = endpointScopeOf(deps, context);
  return toForwardError({
    ...end,
    group,
    barrier: dataCentres.findBarrier(group, homes),
    limitedForMs: () => pool.scheduleReturnMs(group, clock.nowMs(), scope),
    busyForMs: () => pool.busyForMs(group, clock.nowMs(), scope),
  });
}

function toForwardError({
  barrier,
  group,
  busyForMs,
  isTimedOut,
  last,
  limitedForMs,
  mayHaveRun,
}: RunFailure): ForwardError {
  if (mayHaveRun && isTimedOut) {
    return new ForwardError(
      ForwardErrorKind.TimedOut,
      'The request timed out; it may have been executed.',
    );
  }
  if (mayHaveRun) {
    return new ForwardError(
      ForwardErrorKind.EndpointFailed,
      'The endpoint returned no valid response; the request may have been executed.',
    );
  }
  if (isTimedOut) return timedOutNotRunError();
  if (barrier !== undefined) return dataCentreBarrierError(barrier, group);
  const returnInMs = limitedForMs();
  const roomInMs = busyForMs();
  if (returnInMs !== undefined) {
    return new ForwardError(
      ForwardErrorKind.RateLimited,
      `All endpoints of group ${group} have reached the rate limits that they name; send the request again later.`,
      Math.max(returnInMs, roomInMs ?? 0),
    );
  }
  const isUnreached = last === undefined || last === AttemptEndKind.NotSent;
  if (isUnreached && roomInMs === undefined) {
    return new ForwardError(
      ForwardErrorKind.NoEndpoint,
      `No endpoint of group ${group} is reachable; send the request again later.`,
      NO_ENDPOINT_RETRY_MS,
    );
  }
  return new ForwardError(
    ForwardErrorKind.Overloaded,
    `The endpoints of group ${group} are overloaded; send the request again later.`,
    Math.max(OVERLOADED_RETRY_MS, roomInMs ?? 0),
  );
}
