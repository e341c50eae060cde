/** What must hold in every run, whatever fails. */
export enum PromiseKind {
  /** Each completion that was begun ends with its whole answer. */
  WholeAnswer = 'wholeAnswer',
  /** Each caller gets the answer to its own request. */
  OwnAnswer = 'ownAnswer',
  /** A posting runs at most once under its key. */
  AtMostOnce = 'atMostOnce',
  /** A posting whose answer the caller has did run. */
  TrueRan = 'trueRan',
  /** A posting that was refused as not run did not run. */
  TrueNotRun = 'trueNotRun',
  /** An endpoint that is leaving gets no new work after a few seconds. */
  NoWorkToLeaving = 'noWorkToLeaving',
  /** The rule revision of a daemon only rises. */
  RisingRevision = 'risingRevision',
  /** A bad version gets a small share of the requests. */
  BoundedBadShare = 'boundedBadShare',
}

/** One promise that did not hold. */
export interface Violation {
  readonly promise: PromiseKind;
  /** The request, key, endpoint, daemon or version that it concerns. */
  readonly subject: string;
  readonly message: string;
}

/** At least one promise did not hold. */
export class PromiseViolationError extends Error {
  override readonly name = 'PromiseViolationError';

  constructor(
    readonly violations: readonly Violation[],
    traceText: string,
  ) {
    const lines = violations.map(
      ({ message, promise, subject }) => `${promise} ${subject}: ${message}`,
    );
    super(
      [
        'These promises did not hold; find each subject in the trace below.',
        ...lines,
        'Trace:',
        traceText,
      ].join('\n'),
    );
  }
}
