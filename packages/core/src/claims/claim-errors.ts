import { ClaimError, ClaimErrorKind } from './claims.js';

export function storeUnavailable(cause: unknown): ClaimError {
  return new ClaimError(
    'The claim could not be recorded, so the call was not sent; send it again under the same Idempotency-Key.',
    ClaimErrorKind.StoreUnavailable,
    { cause },
  );
}

export function journalFull(): ClaimError {
  return new ClaimError(
    'The claims journal is full, so the call was not sent; raise claims.shards or lower claims.retentionMs.',
    ClaimErrorKind.JournalFull,
  );
}

export function keyReused(): ClaimError {
  return new ClaimError(
    'The Idempotency-Key was used with another request body; use a new key for a new call.',
    ClaimErrorKind.KeyReused,
  );
}

export function notRun(cause?: unknown): ClaimError {
  return new ClaimError(
    'The call did not reach the service; send it again under the same Idempotency-Key.',
    ClaimErrorKind.NotRun,
    { cause },
  );
}

export function outcomeUnknown(cause?: unknown): ClaimError {
  return new ClaimError(
    'The call may have run, but its response was lost; query its outcome before using another key.',
    ClaimErrorKind.OutcomeUnknown,
    { cause },
  );
}

export function inProgress(): ClaimError {
  return new ClaimError(
    'The first call under this Idempotency-Key is still in progress; query its outcome.',
    ClaimErrorKind.InProgress,
  );
}

export function responseNotKept(): ClaimError {
  return new ClaimError(
    'The call ran, but its response is not stored; request it from the service.',
    ClaimErrorKind.ResponseNotKept,
  );
}
