/** Base class of the errors that the clients of the platform, endpoints and peers throw. */
export abstract class PlatformError extends Error {
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** The key-value service could not be reached; the call had no effect. */
export class KeyValueUnavailableError extends PlatformError {}

/** The call was sent and its response was lost; the call may have taken effect. */
export class AnswerLostError extends PlatformError {}

/** No byte of the call reached its target or can reach it later, so it is safe to retry. */
export class NotSentError extends PlatformError {}

/** The target rejected new work, because it is shutting down (`leaving`) or overloaded. */
export class RefusedError extends PlatformError {
  constructor(
    message: string,
    readonly leaving: boolean,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** A stream ended before its finish event. */
export class StreamBrokenError extends PlatformError {}

/** The target does not know the requested stream, claim or cache. */
export class NotFoundError extends PlatformError {}

/** A message from another daemon was malformed, too large or not authenticated. */
export class PeerMessageError extends PlatformError {}
