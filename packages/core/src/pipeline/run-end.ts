/** Why a run of an answer is told to end. */
export enum RunEnd {
  /** No one wants the answer any more; the engine stops too. */
  Cancelled = 'cancelled',
  /** This process stops following; the engine goes on for whoever resumes. */
  Left = 'left',
}

/** Reason of the abort signal that ends a run. */
export class RunEndedError extends Error {
  override readonly name = 'RunEndedError';

  constructor(readonly end: RunEnd) {
    super(`The run was ended (${end}); resume it or send the request again.`);
  }
}

/** Whether an aborted run asks the engine to stop. */
export function isCancelled(signal: AbortSignal): boolean {
  const reason: unknown = signal.reason;
  return reason instanceof RunEndedError && reason.end === RunEnd.Cancelled;
}
