/** What became of a failed request's work. */
export enum Outcome {
  NotRun = 'notRun',
  Ran = 'ran',
  Unknown = 'unknown',
}

/** Problem details of RFC 9457 as the daemons send them. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly outcome: Outcome;
  readonly remedy: string;
  readonly retryAt?: string;
}

/** A daemon gave the request its final answer, and it is a failure. */
export class ProblemError extends Error {
  override readonly name = 'ProblemError';

  constructor(readonly problem: Problem) {
    super(`${problem.title} ${problem.remedy}`);
  }
}

/** No daemon completed the request by its deadline. */
export class DeadlineError extends Error {
  override readonly name = 'DeadlineError';
  readonly outcome = Outcome.Unknown;

  constructor(requestId: string, options?: ErrorOptions) {
    super(
      `Request ${requestId} did not end by its deadline; ask for its outcome or send it again.`,
      options,
    );
  }
}

/** A call without a key was sent and its answer was lost. */
export class OutcomeUnknownError extends Error {
  override readonly name = 'OutcomeUnknownError';
  readonly outcome = Outcome.Unknown;

  constructor(options?: ErrorOptions) {
    super(
      'The answer was lost; ask the service what became of the call, or send it with an Idempotency-Key next time.',
      options,
    );
  }
}

/** Reads problem details; undefined where the text holds none. */
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
