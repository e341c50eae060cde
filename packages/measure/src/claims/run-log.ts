import { ClaimError, ClaimErrorKind } from '@skylarkreach/core/claims';

/** Outcome of a request as reported to its caller. */
export enum ReportedOutcome {
  Ran = 'ran',
  NotRun = 'notRun',
  Unknown = 'unknown',
  /** The daemon did not answer by the deadline. */
  Unanswered = 'nothing',
}

interface Answer {
  readonly requestId: string;
  readonly key: string;
  readonly outcome: ReportedOutcome;
  /** Whether the service had executed the key when the caller was answered. */
  readonly hasKeyRun: boolean;
}

/** Counts over one or more interleaving runs. */
export interface RunCounts {
  readonly requests: number;
  readonly ran: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly unanswered: number;
  readonly serviceRuns: number;
  /** Executions of a key beyond its first. */
  readonly doubleRuns: number;
  /** Requests reported as not run that were executed by the end of the run. */
  readonly falseNotRun: number;
  /** Requests reported as run whose key had not been executed at the time of the answer. */
  readonly falseRan: number;
  /** Requests reported as not run whose key had been executed at the time of the answer. */
  readonly refusedAfterRun: number;
}

/** Executions of the service and the outcomes reported to callers. */
export class RunLog {
  private readonly runCountByKey = new Map<string, number>();
  private readonly executedRequestIds = new Set<string>();
  private readonly answers: Answer[] = [];

  recordRun(key: string, requestId: string): void {
    this.runCountByKey.set(key, (this.runCountByKey.get(key) ?? 0) + 1);
    this.executedRequestIds.add(requestId);
  }

  recordAnswer(key: string, requestId: string, outcome: ReportedOutcome): void {
    const hasKeyRun = this.runCountByKey.has(key);
    this.answers.push({
      key,
      requestId,
      outcome,
      hasKeyRun,
    });
  }

  counts(): RunCounts {
    const runs = [...this.runCountByKey.values()];
    const refused = this.answers.filter(
      answer => answer.outcome === ReportedOutcome.NotRun,
    );
    const isOwnRun = (answer: Answer) =>
      this.executedRequestIds.has(answer.requestId);
    const ran = this.answers.filter(
      answer => answer.outcome === ReportedOutcome.Ran,
    );
    return {
      requests: this.answers.length,
      ran: ran.length,
      notRun: refused.length,
      unknown: this.countOutcome(ReportedOutcome.Unknown),
      unanswered: this.countOutcome(ReportedOutcome.Unanswered),
      serviceRuns: runs.reduce((sum, count) => sum + count, 0),
      doubleRuns: runs.reduce((sum, count) => sum + count - 1, 0),
      falseNotRun: refused.filter(isOwnRun).length,
      falseRan: ran.filter(answer => !answer.hasKeyRun).length,
      refusedAfterRun: refused.filter(answer => answer.hasKeyRun).length,
    };
  }

  private countOutcome(outcome: ReportedOutcome): number {
    return this.answers.filter(answer => answer.outcome === outcome).length;
  }
}

/** Returns the outcome that a failed request's caller is told; rethrows errors other than `ClaimError`. */
export function outcomeOfError(error: unknown): ReportedOutcome {
  if (!(error instanceof ClaimError)) throw error;
  switch (error.kind) {
    case ClaimErrorKind.StoreUnavailable:
    case ClaimErrorKind.JournalFull:
    case ClaimErrorKind.NotRun:
    case ClaimErrorKind.KeyReused:
      return ReportedOutcome.NotRun;
    case ClaimErrorKind.ResponseNotKept:
      return ReportedOutcome.Ran;
    case ClaimErrorKind.InProgress:
    case ClaimErrorKind.OutcomeUnknown:
      return ReportedOutcome.Unknown;
  }
}
