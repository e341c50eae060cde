/** Reason for which the daemon itself answers a request with an error. */
export enum ForwardErrorKind {
  NoConfiguration = 'noConfiguration',
  BadRequest = 'badRequest',
  UnknownRoute = 'unknownRoute',
  UnknownKey = 'unknownKey',
  BodyTooLarge = 'bodyTooLarge',
  HeadersTooLarge = 'headersTooLarge',
  CallerTooSlow = 'callerTooSlow',
  AllowanceSpent = 'allowanceSpent',
  /** The request or a part of its prompt crashes endpoints. */
  RequestBlocked = 'requestBlocked',
  Overloaded = 'overloaded',
  /** All endpoints have reached the rate limits that they name. */
  RateLimited = 'rateLimited',
  NoEndpoint = 'noEndpoint',
  /** All data centres that may serve the request are evacuated. */
  Evacuated = 'evacuated',
  /** The group has no endpoint in the home regions of the request. */
  NoHomeRegion = 'noHomeRegion',
  /** The daemon is shutting down. */
  Stopping = 'stopping',
  /** The request timed out and no endpoint has executed it. */
  TimedOutNotRun = 'timedOutNotRun',
  /** The request timed out and an endpoint may have executed it. */
  TimedOut = 'timedOut',
  /** An endpoint may have executed the request, and gave no valid response. */
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
  [ForwardErrorKind.RequestBlocked]: 503,
  [ForwardErrorKind.Overloaded]: 503,
  [ForwardErrorKind.RateLimited]: 503,
  [ForwardErrorKind.NoEndpoint]: 503,
  [ForwardErrorKind.Evacuated]: 503,
  [ForwardErrorKind.NoHomeRegion]: 503,
  [ForwardErrorKind.Stopping]: 503,
  [ForwardErrorKind.TimedOutNotRun]: 503,
  [ForwardErrorKind.TimedOut]: 504,
  [ForwardErrorKind.EndpointFailed]: 502,
};

/** Error that the daemon itself returns as the final response. */
export class ForwardError extends Error {
  override readonly name = 'ForwardError';

  /**
   * `retryInMs` is the delay after which a retry can succeed; given only if the
   * request was not executed and never will be.
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

/** Returns the error for a request that timed out before it was executed. */
export function timedOutNotRunError(): ForwardError {
  return new ForwardError(
    ForwardErrorKind.TimedOutNotRun,
    'The request timed out before it was executed; send it again.',
    0,
  );
}

/** Returns the error for a request that itself, or a part of its prompt, crashes endpoints. */
export function requestBlockedError(blockedForMs: number): ForwardError {
  return new ForwardError(
    ForwardErrorKind.RequestBlocked,
    'The request or a part of its prompt has crashed several endpoints; change it, or send it again much later.',
    blockedForMs,
  );
}

/** Returns the error for a request that has waited while its home regions were restricted further. */
export function homeRegionsChangedError(): ForwardError {
  return new ForwardError(
    ForwardErrorKind.NoHomeRegion,
    'The regions that the route and the workspace allow have changed; send the request again.',
    0,
  );
}

/** Returns the error for a request that was not executed, as the daemon is stopping. */
export function daemonStoppingError(): ForwardError {
  return new ForwardError(
    ForwardErrorKind.Stopping,
    'This daemon is stopping; send the request again to reach another one.',
    0,
  );
}

/** Returns the error for a request beyond the token rate of its workspace. */
export function allowanceSpentError(
  workspace: string,
  retryInMs: number,
): ForwardError {
  return new ForwardError(
    ForwardErrorKind.AllowanceSpent,
    `Workspace ${workspace} has exceeded its token rate; send the request again later.`,
    retryInMs,
  );
}
