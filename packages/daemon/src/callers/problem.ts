import type { ServerResponse } from 'node:http';

import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from '@skylarkreach/core/pipeline';
import type { Clock } from '@skylarkreach/core/ports';

const PROBLEM_TYPE_PREFIX = 'urn:skylarkreach:problem:';
const STOPPING_RETRY_DELAY_MS = 1_000;

/** Problem details (RFC 9457), extended by the outcome of the request and a remedy. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly outcome: string;
  readonly remedy: string;
  readonly requestId: string;
  readonly retryAt?: string;
}

export function toProblem(error: RequestError, requestId: string): Problem {
  return {
    type: `${PROBLEM_TYPE_PREFIX}${error.kind}`,
    title: error.message,
    status: error.httpStatus,
    outcome: error.outcome,
    remedy: error.remedy,
    requestId,
    ...(error.retryAtMs === undefined
      ? {}
      : { retryAt: new Date(error.retryAtMs).toISOString() }),
  };
}

/** Ends the response with the error as `application/problem+json`. */
export function sendProblem(
  response: ServerResponse,
  error: RequestError,
  requestId: string,
  clock: Clock,
): void {
  const problem = toProblem(error, requestId);
  if (error.retryAtMs !== undefined) {
    const remainingMs = error.retryAtMs - clock.nowMs();
    const seconds = Math.max(1, Math.ceil(remainingMs / 1_000));
    response.setHeader('retry-after', String(seconds));
  }
  response.writeHead(problem.status, {
    'content-type': 'application/problem+json',
    'x-request-id': requestId,
  });
  response.end(JSON.stringify(problem));
}

/** Returns the error for requests that arrive, or are interrupted, while the daemon stops or its instance is reclaimed. */
export function stoppingError(
  clock: Clock,
  outcome = RequestOutcome.NotRun,
): RequestError {
  return new RequestError({
    kind: RequestErrorKind.Stopping,
    message: 'This daemon is stopping.',
    remedy:
      'Send the request again after the time in Retry-After; the load balancer routes it to another daemon.',
    outcome,
    retryAtMs: clock.nowMs() + STOPPING_RETRY_DELAY_MS,
  });
}
