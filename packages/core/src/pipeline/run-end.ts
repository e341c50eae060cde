/** Reason for ending a run of an answer early. */
export enum RunEndReason {
  /** The request was cancelled; the engine stops as well. */
  Cancelled = 'cancelled',
  /** This process stops reading the stream; the engine continues so that the answer can be resumed. */
  Detached = 'left',
}

/** Abort reason of a run that is ended early. */
export class RunEndedError extends Error {
  override readonly name = 'RunEndedError';

  constructor(readonly endReason: RunEndReason) {
    super(
      `The run was ended (${endReason}); resume it or send the request again.`,
    );
  }
}

/** Whether a signal was aborted because the request was cancelled. */
export function isCancellation(signal: AbortSignal): boolean {
  const reason: unknown = signal.reason;
  return (
    reason instanceof RunEndedError &&
    reason.endReason === RunEndReason.Cancelled
  );
}
