/** Outcome of a request that an endpoint answered or whose caller disconnected. */
export enum RunOutcome {
  Pending = 'pending',
  Answered = 'answered',
  /** The endpoint's own error response was forwarded to the caller. */
  EndpointError = 'endpointError',
  CallerDisconnected = 'callerGone',
  /** The response was aborted after its start. */
  Truncated = 'brokenOff',
}
