/** Guarantees that must hold in every run, whatever fails; feature files call them promises. */
export enum Guarantee {
  /** Each completion that was started ends with its complete answer. */
  CompleteAnswer = 'wholeAnswer',
  /** Each caller receives the answer to its own request, not to another one. */
  MatchingAnswer = 'ownAnswer',
  /** A posting runs at most once per idempotency key. */
  AtMostOnce = 'atMostOnce',
  /** A posting whose answer reached the caller was run. */
  AnsweredPostingRan = 'trueRan',
  /** A posting that was reported to its caller as not run was not run. */
  RefusedPostingNotRun = 'trueNotRun',
  /** An endpoint receives no new work later than 5 s after its reclaim notice. */
  NoWorkAfterReclaimNotice = 'noWorkToLeaving',
  /** The rule revision of a daemon never decreases. */
  MonotonicRevision = 'risingRevision',
  /** A bad version receives at most a small share of the requests. */
  BoundedBadVersionShare = 'boundedBadShare',
}

/** Violation of one guarantee. */
export interface Violation {
  readonly guarantee: Guarantee;
  /** Id of the request, idempotency key, endpoint, daemon or version concerned. */
  readonly subject: string;
  readonly message: string;
}

/**
 * Thrown when a run violated at least one guarantee; the message lists the violations and the trace.
 * Its `name` is part of the output of test runs and keeps the word "promise".
 */
export class GuaranteeViolationError extends Error {
  override readonly name = 'PromiseViolationError';

  constructor(
    readonly violations: readonly Violation[],
    traceText: string,
  ) {
    const lines = violations.map(
      ({ message, guarantee, subject }) =>
        `${guarantee} ${subject}: ${message}`,
    );
    super(
      [
        'The run violated these guarantees; look up each subject in the trace below.',
        ...lines,
        'Trace:',
        traceText,
      ].join('\n'),
    );
  }
}
