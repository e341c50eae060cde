import type { Address } from '@skylarkreach/core/ports';

import type { ServiceRun } from '../service/index.js';

/** What a caller has of one chat completion. */
export interface AnswerEvidence {
  readonly requestId: string;
  /** The whole answer that the stand-in engine gives to the request. */
  readonly expectedText: string;
  readonly text: string;
  /** Why the caller gave up; undefined where the answer ended as a whole one. */
  readonly failure: string | undefined;
}

export enum PostingOutcome {
  /** The caller was given the service's answer. */
  Ran = 'ran',
  /** The caller was told that the call did not run. */
  NotRun = 'notRun',
  /** The caller was not told what became of the call. */
  Unknown = 'unknown',
}

/** What a caller was told of one posting. The key is not sent again after the outcome. */
export interface PostingEvidence {
  readonly key: string;
  readonly outcome: PostingOutcome;
  /** The service's answer, where the posting ran. */
  readonly responseBody: string | undefined;
}

/** New work that was sent to an engine. */
export interface DispatchEvidence {
  readonly endpoint: Address;
  readonly version: string;
  readonly streamId: string;
  readonly atMs: number;
}

/** An endpoint whose reclaim was announced. */
export interface LeavingEvidence {
  readonly endpoint: Address;
  readonly announcedAtMs: number;
}

/** The rule revision that a daemon had in force. */
export interface RevisionEvidence {
  readonly daemonId: string;
  readonly revision: number;
  readonly atMs: number;
}

/** A version that is known to be bad, and the bound of its share. */
export interface BadVersionEvidence {
  readonly version: string;
  readonly movedAtMs: number;
  readonly maxSharePercent: number;
  /** Requests that any share may come to. */
  readonly minRequests: number;
}

/** All that a run has left for the checker. */
export interface Evidence {
  readonly answers: readonly AnswerEvidence[];
  readonly postings: readonly PostingEvidence[];
  readonly runs: readonly ServiceRun[];
  readonly dispatches: readonly DispatchEvidence[];
  readonly leavings: readonly LeavingEvidence[];
  readonly revisions: readonly RevisionEvidence[];
  readonly badVersions: readonly BadVersionEvidence[];
}

export const NO_EVIDENCE: Evidence = {
  answers: [],
  postings: [],
  runs: [],
  dispatches: [],
  leavings: [],
  revisions: [],
  badVersions: [],
};
