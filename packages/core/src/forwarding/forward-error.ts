/** Why the system itself ended a request. */
export enum ForwardErrorKind {
  NoConfiguration = 'noConfiguration',
  BadRequest = 'badRequest',
  UnknownRoute = 'unknownRoute',
  UnknownKey = 'unknownKey',
  BodyTooLarge = 'bodyTooLarge',
  HeadersTooLarge = 'headersTooLarge',
  CallerTooSlow = 'callerTooSlow',
  AllowanceSpent = 'allowanceSpent',
  Overloaded = 'overloaded',
  NoEndpoint = 'noEndpoint',
  /** The daemon is about to end. */
  Stopping = 'stopping',
  /** Time ran out and no endpoint has run the request. */
  TimedOutNotRun = 'timedOutNotRun',
  /** Time ran out and an endpoint may have run the request. */
  TimedOut = 'timedOut',
  /** An endpoint may have run the request, and its answer cannot be used. */
  EndpointFailed = 'endpointFailed',
}

const HTTP_STATUS: Readonly<Record<ForwardErrorKind, number>> = {
  [ForwardErrorKind.NoConfiguration]: 503,
  [ForwardErrorKind.BadRequest]: 400,
  [ForwardErrorKind.UnknownRoute]: 404,
  [ForwardErrorKind.UnknownKey]: 401,
  [ForwardErrorKind.BodyTooLarge]: 413,
  [ForwardErrorKind.HeadersTooLarge]: 431,
  [ForwardErrorKind.CallerTooSlow]: 408,
  [ForwardErrorKind.AllowanceSpent]: 429,
  [ForwardErrorKind.Overloaded]: 503,
  [ForwardErrorKind.NoEndpoint]: 503,
  [ForwardErrorKind.Stopping]: 503,
  [ForwardErrorKind.TimedOutNotRun]: 503,
  [ForwardErrorKind.TimedOut]: 504,
  [ForwardErrorKind.EndpointFailed]: 502,
};

/** Final answer of the system itself. */
export class ForwardError extends Error {
  override readonly name = 'ForwardError';

  /**
   * `retryInMs` is the time after which another try can succeed; given only
   * where the request has not run and never will.
   */
  constructor(
    readonly kind: ForwardErrorKind,
    message: string,
    readonly retryInMs?: number,
  ) {
    super(message);
  }

  get httpStatus(): number {
    return HTTP_STATUS[this.kind];
  }
}
