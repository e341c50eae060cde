import type {
  ServiceOutcome,
  ServiceResponse,
  Workspace,
} from '../ports/index.js';

export enum ClaimState {
  /** The key is claimed; the call has not been sent to any endpoint. */
  Claimed = 'claimed',
  /** The call is about to be sent or has been sent; the outcome is not recorded. */
  Dispatched = 'dispatched',
  /** The service executed the call. */
  Ran = 'ran',
  /** The run ended before any byte reached an endpoint. */
  NotRun = 'notRun',
  /** The call was sent and its outcome could not be determined. */
  Unknown = 'unknown',
}

/** A call that must run at most once. */
export interface ClaimIntent {
  readonly workspace: Workspace;
  readonly idempotencyKey: string;
  /** Hash of the call's method, path and body; a key may be used with one body only. */
  readonly bodyHash: string;
  readonly requestId: string;
  readonly deadlineAtMs: number;
  /**
   * Whether the service deduplicates calls by key across all its endpoints. The
   * call may then be sent without a claim while the key-value service is down.
   */
  readonly deduplicatedByService?: boolean;
}

/** State and response of a claimed call. */
export interface ClaimRecord {
  readonly state: ClaimState;
  readonly bodyHash: string;
  readonly requestId: string;
  /** Time after which the record may be deleted. */
  readonly keepUntilMs: number;
  /** Absent where the call has not ended, or its response exceeds the size limit. */
  readonly response?: ServiceResponse;
}

export enum ClaimErrorKind {
  /** The claim could not be written; nothing was sent. */
  StoreUnavailable = 'storeUnavailable',
  /** The journal value has no capacity left; nothing was sent. */
  JournalFull = 'journalFull',
  /** The key was already used with another request body. */
  KeyReused = 'keyReused',
  /** The outcome of the first run is unknown. */
  OutcomeUnknown = 'outcomeUnknown',
  /** The first run is still in progress. */
  InProgress = 'inProgress',
  /** The call ran and its response is not stored. */
  ResponseNotKept = 'responseNotKept',
  /** The call was not sent. */
  NotRun = 'notRun',
}

export class ClaimError extends Error {
  override readonly name = 'ClaimError';

  constructor(
    message: string,
    readonly kind: ClaimErrorKind,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Sends the call. Throws the errors of a service call, such as `NotSentError` and `AnswerLostError`. */
export type ClaimedDispatch = () => Promise<ServiceResponse>;

/** Queries the service for the outcome of the call. Throws the errors of a service call. */
export type OutcomeQuery = (deadlineAtMs: number) => Promise<ServiceOutcome>;

/** Runs non-idempotent calls at most once per idempotency key. */
export interface Claims {
  /**
   * Runs the call under its key, or returns the response of the first run under
   * that key. `queryOutcome` is present where the service can report the
   * outcome of a call. Throws `ClaimError`.
   */
  run(
    intent: ClaimIntent,
    dispatch: ClaimedDispatch,
    queryOutcome?: OutcomeQuery,
  ): Promise<ServiceResponse>;
  /** Returns the record of a call, or undefined where no claim is stored. Throws `ClaimError`. */
  find(
    workspace: Workspace,
    idempotencyKey: string,
    deadlineAtMs: number,
  ): Promise<ClaimRecord | undefined>;
}
