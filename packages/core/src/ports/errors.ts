/** Base of the errors that the platform's interfaces throw. */
export abstract class PlatformError extends Error {
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** The key-value service could not be reached; nothing took effect. */
export class KeyValueUnavailableError extends PlatformError {}

/** The call was sent and its answer did not arrive; it may have taken effect. */
export class AnswerLostError extends PlatformError {}

/** No byte of the call reached its target, and none can later. */
export class NotSentError extends PlatformError {}

/** The target answered that it takes no new work, because it is leaving or overloaded. */
export class RefusedError extends PlatformError {
  constructor(
    message: string,
    readonly leaving: boolean,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** A stream stopped before its finish event. */
export class StreamBrokenError extends PlatformError {}

/** The target does not know the stream, claim or cache that was asked for. */
export class NotFoundError extends PlatformError {}

/** A peer's message was malformed, too large or not authenticated. */
export class PeerMessageError extends PlatformError {}
