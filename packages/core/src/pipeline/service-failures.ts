import type { ClaimError } from '../claims/index.js';
import { ClaimErrorKind } from '../claims/index.js';
import type { PlatformError } from '../ports/index.js';
import { NotSentError } from '../ports/index.js';
import {
  notRun,
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';

/** The caller's error for a failed dispatch without a claim. */
export function dispatchFailure(
  error: PlatformError,
  retryAtMs: number,
): RequestError {
  if (error instanceof NotSentError) {
    return notRun(
      RequestErrorKind.NoEndpoint,
      error.message,
      'Send the call again after the time in Retry-After.',
      retryAtMs,
    );
  }
  return new RequestError(
    {
      kind: RequestErrorKind.OutcomeUnknown,
      message: error.message,
      remedy:
        'Ask the service what became of the call before sending it again.',
      outcome: RequestOutcome.Unknown,
    },
    { cause: error },
  );
}

/** The caller's error for a call that its claim ended. */
export function claimFailure(
  error: ClaimError,
  outcomePath: string,
  retryAtMs: number,
): RequestError {
  const { kind, message } = error;
  switch (kind) {
    case ClaimErrorKind.StoreUnavailable:
    case ClaimErrorKind.JournalFull:
      return notRun(
        RequestErrorKind.ClaimUnavailable,
        message,
        SAME_KEY_REMEDY,
        retryAtMs,
      );
    case ClaimErrorKind.NotRun:
      return notRun(
        RequestErrorKind.NoEndpoint,
        message,
        SAME_KEY_REMEDY,
        retryAtMs,
      );
    case ClaimErrorKind.KeyReused:
      return notRun(RequestErrorKind.KeyReused, message, message);
    case ClaimErrorKind.InProgress:
    case ClaimErrorKind.OutcomeUnknown:
    case ClaimErrorKind.ResponseNotKept:
      return afterDispatch(kind, error, outcomePath);
  }
}

const SAME_KEY_REMEDY =
  'Send the call again under the same Idempotency-Key after the time in Retry-After.';

type DispatchedKind =
  | ClaimErrorKind.InProgress
  | ClaimErrorKind.OutcomeUnknown
  | ClaimErrorKind.ResponseNotKept;

const KIND_AFTER_DISPATCH: Record<DispatchedKind, RequestErrorKind> = {
  [ClaimErrorKind.InProgress]: RequestErrorKind.CallInProgress,
  [ClaimErrorKind.OutcomeUnknown]: RequestErrorKind.OutcomeUnknown,
  [ClaimErrorKind.ResponseNotKept]: RequestErrorKind.EndpointFailed,
};

function afterDispatch(
  kind: DispatchedKind,
  error: ClaimError,
  outcomePath: string,
): RequestError {
  const ran = kind === ClaimErrorKind.ResponseNotKept;
  return new RequestError(
    {
      kind: KIND_AFTER_DISPATCH[kind],
      message: error.message,
      remedy: `Ask for the outcome by GET ${outcomePath}; use no other key until it is known.`,
      outcome: ran ? RequestOutcome.Ran : RequestOutcome.Unknown,
    },
    { cause: error },
  );
}
