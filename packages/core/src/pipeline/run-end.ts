/** Reason for ending a run of an answer early. */
export enum RunEnd {
  /** The request was cancelled; the engine stops as well. */
  Cancelled = 'cancelled',
  /** This process stops reading the stream; the engine continues so that the answer can be resumed. */
  Left = 'left',
}

/** Abort reason of a run that is ended early. */
export class RunEndedError extends Error {
  override readonly name = 'RunEndedError';

  constructor(readonly end: RunEnd) {
    super(`The run was ended (${end}); resume it or send the request again.`);
  }
}

/** Whether a signal was aborted because the request was cancelled. */
export function isCancellation(signal: AbortSignal): boolean {
  const reason: unknown = signal.reason;
  return reason instanceof RunEndedError && reason.end === RunEnd.Cancelled;
}
