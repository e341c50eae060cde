import type { ClaimError } from '../claims/index.js';
import { ClaimErrorKind } from '../claims/index.js';
import type { PlatformError } from '../ports/index.js';
import { NotSentError } from '../ports/index.js';
import {
  notRunError,
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';

/** Creates the caller's error for a failed dispatch that had no claim. */
export function requestErrorFromDispatch(
  error: PlatformError,
  retryAtMs: number,
): RequestError {
  if (error instanceof NotSentError) {
    return notRunError(
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
        'Check with the service whether the call ran before sending it again.',
      outcome: RequestOutcome.Unknown,
    },
    { cause: error },
  );
}

/** Creates the caller's error for a call that failed with a claim error. */
export function requestErrorFromClaim(
  error: ClaimError,
  outcomePath: string,
  retryAtMs: number,
): RequestError {
  const { kind, message } = error;
  switch (kind) {
    case ClaimErrorKind.StoreUnavailable:
    case ClaimErrorKind.JournalFull:
      return notRunError(
        RequestErrorKind.ClaimUnavailable,
        message,
        SAME_KEY_REMEDY,
        retryAtMs,
      );
    case ClaimErrorKind.NotRun:
      return notRunError(
        RequestErrorKind.NoEndpoint,
        message,
        SAME_KEY_REMEDY,
        retryAtMs,
      );
    case ClaimErrorKind.KeyReused:
      return notRunError(RequestErrorKind.KeyReused, message, message);
    case ClaimErrorKind.InProgress:
    case ClaimErrorKind.OutcomeUnknown:
    case ClaimErrorKind.ResponseNotKept:
      return errorAfterDispatch(kind, error, outcomePath);
  }
}

const SAME_KEY_REMEDY =
  'Send the call again under the same Idempotency-Key after the time in Retry-After.';

type PostDispatchClaimErrorKind =
  | ClaimErrorKind.InProgress
  | ClaimErrorKind.OutcomeUnknown
  | ClaimErrorKind.ResponseNotKept;

const ERROR_KIND_AFTER_DISPATCH: Record<
  PostDispatchClaimErrorKind,
  RequestErrorKind
> = {
  [ClaimErrorKind.InProgress]: RequestErrorKind.CallInProgress,
  [ClaimErrorKind.OutcomeUnknown]: RequestErrorKind.OutcomeUnknown,
  [ClaimErrorKind.ResponseNotKept]: RequestErrorKind.EndpointFailed,
};

function errorAfterDispatch(
  kind: PostDispatchClaimErrorKind,
  error: ClaimError,
  outcomePath: string,
): RequestError {
  const hasRun = kind === ClaimErrorKind.ResponseNotKept;
  return new RequestError(
    {
      kind: ERROR_KIND_AFTER_DISPATCH[kind],
      message: error.message,
      remedy: `Query the outcome with GET ${outcomePath}; do not use another key until it is known.`,
      outcome: hasRun ? RequestOutcome.Ran : RequestOutcome.Unknown,
    },
    { cause: error },
  );
}
