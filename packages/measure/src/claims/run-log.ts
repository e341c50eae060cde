import { ClaimError, ClaimErrorKind } from '@skylarkreach/core/claims';

/** What a caller was told of one request. */
export enum Told {
  Ran = 'ran',
  NotRun = 'notRun',
  Unknown = 'unknown',
  /** The daemon gave no answer by the deadline. */
  Nothing = 'nothing',
}

interface Answer {
  readonly requestId: string;
  readonly key: string;
  readonly told: Told;
  /** Whether the key had run when the caller was answered. */
  readonly keyHadRun: boolean;
}

/** Counts of one or more interleavings. */
export interface RunCounts {
  readonly requests: number;
  readonly ran: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly unanswered: number;
  readonly serviceRuns: number;
  /** Runs of a key beyond its first. */
  readonly doubleRuns: number;
  /** Requests told as not run that had run by the end. */
  readonly falseNotRun: number;
  /** Requests told as run whose key did not run. */
  readonly falseRan: number;
  /** Refusals of a request whose key another request had run. */
  readonly refusedAfterRun: number;
}

/** Records what the service ran and what callers were told. */
export class RunLog {
  private readonly runsOfKey = new Map<string, number>();
  private readonly requestsRun = new Set<string>();
  private readonly answers: Answer[] = [];

  recordRun(key: string, requestId: string): void {
    this.runsOfKey.set(key, (this.runsOfKey.get(key) ?? 0) + 1);
    this.requestsRun.add(requestId);
  }

  recordAnswer(key: string, requestId: string, told: Told): void {
    const keyHadRun = this.runsOfKey.has(key);
    this.answers.push({ key, requestId, told, keyHadRun });
  }

  counts(): RunCounts {
    const runs = [...this.runsOfKey.values()];
    const refused = this.answers.filter(each => each.told === Told.NotRun);
    const isOwnRun = (each: Answer) => this.requestsRun.has(each.requestId);
    const ran = this.answers.filter(each => each.told === Told.Ran);
    return {
      requests: this.answers.length,
      ran: ran.length,
      notRun: refused.length,
      unknown: this.countTold(Told.Unknown),
      unanswered: this.countTold(Told.Nothing),
      serviceRuns: runs.reduce((sum, count) => sum + count, 0),
      doubleRuns: runs.reduce((sum, count) => sum + count - 1, 0),
      falseNotRun: refused.filter(isOwnRun).length,
      falseRan: ran.filter(each => !each.keyHadRun).length,
      refusedAfterRun: refused.filter(each => each.keyHadRun).length,
    };
  }

  private countTold(told: Told): number {
    return this.answers.filter(each => each.told === told).length;
  }
}

/** What a caller is told by a failed request. */
export function toldBy(error: unknown): Told {
  if (!(error instanceof ClaimError)) throw error;
  switch (error.kind) {
    case ClaimErrorKind.StoreUnavailable:
    case ClaimErrorKind.JournalFull:
    case ClaimErrorKind.NotRun:
    case ClaimErrorKind.KeyReused:
      return Told.NotRun;
    case ClaimErrorKind.ResponseNotKept:
      return Told.Ran;
    case ClaimErrorKind.InProgress:
    case ClaimErrorKind.OutcomeUnknown:
      return Told.Unknown;
  }
}
