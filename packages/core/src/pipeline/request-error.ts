/** Outcome of a request's work, as reported to its caller. */
export enum RequestOutcome {
  /** No byte of the request reached an endpoint, and none can later. */
  NotRun = 'notRun',
  Ran = 'ran',
  Unknown = 'unknown',
}

export enum RequestErrorKind {
  BadRequest = 'badRequest',
  Unauthenticated = 'unauthenticated',
  NotFound = 'notFound',
  TooLarge = 'tooLarge',
  NoRule = 'noRule',
  MissingDeadline = 'missingDeadline',
  DeadlinePassed = 'deadlinePassed',
  LimitReached = 'limitReached',
  NoEndpoint = 'noEndpoint',
  Stopping = 'stopping',
  KeyReused = 'keyReused',
  ClaimUnavailable = 'claimUnavailable',
  CallInProgress = 'callInProgress',
  OutcomeUnknown = 'outcomeUnknown',
  EndpointFailed = 'endpointFailed',
  CallerTooSlow = 'callerTooSlow',
  /** This daemon has no memory for the request. */
  Overloaded = 'overloaded',
  /** A resume token is malformed, forged or belongs to another request or workspace. */
  ResumeRefused = 'resumeRefused',
  ResumeExpired = 'resumeExpired',
  /** The state needed to continue a stream is no longer available. */
  StreamLost = 'streamLost',
}

const HTTP_STATUS_BY_KIND: Record<RequestErrorKind, number> = {
  [RequestErrorKind.BadRequest]: 400,
  [RequestErrorKind.Unauthenticated]: 401,
  [RequestErrorKind.NotFound]: 404,
  [RequestErrorKind.TooLarge]: 413,
  [RequestErrorKind.NoRule]: 403,
  [RequestErrorKind.MissingDeadline]: 400,
  [RequestErrorKind.DeadlinePassed]: 504,
  [RequestErrorKind.LimitReached]: 429,
  [RequestErrorKind.NoEndpoint]: 503,
  [RequestErrorKind.Stopping]: 503,
  [RequestErrorKind.KeyReused]: 422,
  [RequestErrorKind.ClaimUnavailable]: 503,
  [RequestErrorKind.CallInProgress]: 409,
  [RequestErrorKind.OutcomeUnknown]: 502,
  [RequestErrorKind.EndpointFailed]: 502,
  [RequestErrorKind.CallerTooSlow]: 408,
  [RequestErrorKind.Overloaded]: 503,
  [RequestErrorKind.ResumeRefused]: 403,
  [RequestErrorKind.ResumeExpired]: 410,
  [RequestErrorKind.StreamLost]: 409,
};

export interface RequestErrorDetails {
  readonly kind: RequestErrorKind;
  readonly message: string;
  readonly remedy: string;
  readonly outcome: RequestOutcome;
  /** Earliest time at which a retry can succeed. */
  readonly retryAtMs?: number;
}

/** Final failure of a request, with the outcome and remedy for its caller. */
export class RequestError extends Error {
  override readonly name = 'RequestError';
  readonly kind: RequestErrorKind;
  readonly remedy: string;
  readonly outcome: RequestOutcome;
  readonly retryAtMs: number | undefined;

  constructor(details: RequestErrorDetails, options?: ErrorOptions) {
    super(details.message, options);
    this.kind = details.kind;
    this.remedy = details.remedy;
    this.outcome = details.outcome;
    this.retryAtMs = details.retryAtMs;
  }

  get httpStatus(): number {
    return HTTP_STATUS_BY_KIND[this.kind];
  }
}

/** Creates the error for a request that was refused before anything was dispatched. */
export function notRunError(
  kind: RequestErrorKind,
  message: string,
  remedy: string,
  retryAtMs?: number,
): RequestError {
  const outcome = RequestOutcome.NotRun;
  return new RequestError({ kind, message, remedy, outcome, retryAtMs });
}
