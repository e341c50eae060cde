/** Whether the work of a failed request was done. */
export enum Outcome {
  NotRun = 'notRun',
  Ran = 'ran',
  Unknown = 'unknown',
}

/** Problem details (RFC 9457) in the form that the daemons send. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly outcome: Outcome;
  readonly remedy: string;
  readonly retryAt?: string;
}

/** Final failure of a request, as reported by a daemon. */
export class ProblemError extends Error {
  override readonly name = 'ProblemError';

  constructor(readonly problem: Problem) {
    super(`${problem.title} ${problem.remedy}`);
  }
}

/** The deadline passed before any daemon completed the request. */
export class DeadlineError extends Error {
  override readonly name = 'DeadlineError';
  readonly outcome = Outcome.Unknown;

  constructor(requestId: string, options?: ErrorOptions) {
    super(
      `Request ${requestId} did not complete by its deadline; query its outcome or send it again.`,
      options,
    );
  }
}

/** A call without an idempotency key was sent and its response was lost. */
export class OutcomeUnknownError extends Error {
  override readonly name = 'OutcomeUnknownError';
  readonly outcome = Outcome.Unknown;

  constructor(options?: ErrorOptions) {
    super(
      'The response was lost; query the outcome of the call at the service, or send calls with an Idempotency-Key.',
      options,
    );
  }
}

/** Parses problem details. Returns undefined where the text contains none. */
export function parseProblem(text: string): Problem | undefined {
  try {
    const value = JSON.parse(text) as Partial<Problem> | null;
    const isProblem =
      typeof value?.type === 'string' && typeof value.status === 'number';
    return isProblem ? (value as Problem) : undefined;
  } catch {
    return undefined;
  }
}
