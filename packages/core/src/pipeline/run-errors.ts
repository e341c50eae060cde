import {
  NotFoundError,
  NotSentError,
  PlatformError,
  RefusedError,
} from '../ports/index.js';
import { StreamFailure } from '../streams/index.js';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';

/** Classifies the failure of a stream. Rethrows errors other than `PlatformError`. */
export function classifyStreamFailure(error: unknown): StreamFailure {
  if (error instanceof RefusedError) return StreamFailure.Refused;
  if (error instanceof NotSentError) return StreamFailure.Lost;
  if (error instanceof NotFoundError) return StreamFailure.Lost;
  if (error instanceof PlatformError) return StreamFailure.Broken;
  throw error;
}

/** Error for a request whose possible endpoints all failed or became unavailable. */
export function attemptsExhaustedError(
  outcome: RequestOutcome,
  group: string,
  retryAtMs: number,
): RequestError {
  return new RequestError({
    kind: RequestErrorKind.NoEndpoint,
    message: `No endpoint of group ${group} could complete the answer.`,
    remedy:
      'Send the request again under the same X-Request-Id after the time in Retry-After.',
    outcome,
    retryAtMs,
  });
}

/** Error for a request whose deadline passed before its answer was complete. */
export function deadlinePassedError(outcome: RequestOutcome): RequestError {
  return new RequestError({
    kind: RequestErrorKind.DeadlinePassed,
    message: 'The deadline passed before the answer was complete.',
    remedy: 'Send the request again with a later deadline.',
    outcome,
  });
}

/** Error for a stream whose engine is unavailable and whose request has no record on the daemons asked. */
export function streamLostError(requestId: string): RequestError {
  return new RequestError({
    kind: RequestErrorKind.StreamLost,
    message: `The stream of request ${requestId} is unavailable, and no record of the request was found.`,
    remedy:
      'Send the request again with the same X-Request-Id and Last-Event-ID, and the text received in "received_text".',
    outcome: RequestOutcome.Unknown,
  });
}
