import type {
  ServiceOutcome,
  ServiceResponse,
  Workspace,
} from '../ports/index.js';

export enum ClaimState {
  /** Taken, and not yet sent to any endpoint. */
  Claimed = 'claimed',
  /** About to be sent, or sent; the outcome is not recorded. */
  Dispatched = 'dispatched',
  Ran = 'ran',
  /** Ended without any byte reaching an endpoint. */
  NotRun = 'notRun',
  /** Sent, and the outcome could not be learnt. */
  Unknown = 'unknown',
}

/** A call that may run at most once. */
export interface ClaimIntent {
  readonly workspace: Workspace;
  readonly idempotencyKey: string;
  /** Hash of the call's method, path and body; a key names one body only. */
  readonly bodyHash: string;
  readonly requestId: string;
  readonly deadlineAtMs: number;
  /**
   * The service removes duplicates by key across all its endpoints, so that the
   * call may be sent without a claim while the key-value service is down.
   */
  readonly deduplicatedByService?: boolean;
}

/** What became of a claimed call. */
export interface ClaimRecord {
  readonly state: ClaimState;
  readonly bodyHash: string;
  readonly requestId: string;
  /** The record may be dropped after this time. */
  readonly keepUntilMs: number;
  /** Absent where the call did not end, or its response is over the bound. */
  readonly response?: ServiceResponse;
}

export enum ClaimErrorKind {
  /** The claim could not be written; nothing was sent. */
  StoreUnavailable = 'storeUnavailable',
  /** The journal holds as many claims as its values can; nothing was sent. */
  JournalFull = 'journalFull',
  /** The key was used with another body. */
  KeyReused = 'keyReused',
  /** The first run's outcome is not known. */
  OutcomeUnknown = 'outcomeUnknown',
  /** The first run is still under way. */
  InProgress = 'inProgress',
  /** The call ran, and its response is no longer at hand. */
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

/** Sends the call; throws `NotSentError` or `AnswerLostError` as a service does. */
export type ClaimedDispatch = () => Promise<ServiceResponse>;

/** Asks the service what became of the call; throws as a service does. */
export type OutcomeQuery = (deadlineAtMs: number) => Promise<ServiceOutcome>;

/** Runs calls that may not be repeated. */
export interface Claims {
  /**
   * Runs the call under its key, or answers with what the first run under the
   * key gave. Throws `ClaimError`. `queryOutcome` is given where the service
   * can tell what became of a call.
   */
  run(
    intent: ClaimIntent,
    dispatch: ClaimedDispatch,
    queryOutcome?: OutcomeQuery,
  ): Promise<ServiceResponse>;
  /** Looks up what became of a call, or undefined where no claim is kept. */
  find(
    workspace: Workspace,
    idempotencyKey: string,
    deadlineAtMs: number,
  ): Promise<ClaimRecord | undefined>;
}
