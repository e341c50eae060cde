import type { Address } from '@skylarkreach/core/ports';

import type { ServiceRun } from '../service/index.js';

/** Result of one chat completion as its caller received it. */
export interface AnswerRecord {
  readonly requestId: string;
  /** The complete answer that the stand-in engine generates for the request. */
  readonly expectedText: string;
  readonly text: string;
  /** Error that the caller failed with; undefined where its stream ended normally. */
  readonly failure: string | undefined;
}

export enum PostingOutcome {
  /** The caller received the service's answer. */
  Ran = 'ran',
  /** The daemon reported that the call did not run. */
  NotRun = 'notRun',
  /** The caller does not know whether the call ran. */
  Unknown = 'unknown',
}

/**
 * Outcome of one posting, a call that must run at most once, as its caller received it.
 * The idempotency key is not sent again once there is an outcome.
 */
export interface PostingRecord {
  readonly key: string;
  readonly outcome: PostingOutcome;
  /** The service's answer where the posting ran, otherwise undefined. */
  readonly responseBody: string | undefined;
}

/** Dispatch of new work to an engine. */
export interface DispatchRecord {
  readonly endpoint: Address;
  readonly version: string;
  readonly streamId: string;
  readonly atMs: number;
}

/** Reclaim notice of an endpoint. */
export interface ReclaimNoticeRecord {
  readonly endpoint: Address;
  readonly announcedAtMs: number;
}

/** Rule revision that a daemon had in force at a point in time. */
export interface RevisionRecord {
  readonly daemonId: string;
  readonly revision: number;
  readonly atMs: number;
}

/** Version that is known to be bad, and the upper bound of its share of requests. */
export interface BadVersionLimit {
  readonly version: string;
  /** Start of its first engine; dispatches before it are not counted. */
  readonly startedAtMs: number;
  readonly maxSharePercent: number;
  /** Number of requests that is allowed whatever share they make up. */
  readonly alwaysAllowedRequests: number;
}

/** Everything recorded during a run that the guarantees are checked against. */
export interface RunHistory {
  readonly answers: readonly AnswerRecord[];
  readonly postings: readonly PostingRecord[];
  readonly runs: readonly ServiceRun[];
  readonly dispatches: readonly DispatchRecord[];
  readonly reclaimNotices: readonly ReclaimNoticeRecord[];
  readonly revisions: readonly RevisionRecord[];
  readonly badVersions: readonly BadVersionLimit[];
}

export const EMPTY_RUN_HISTORY: RunHistory = {
  answers: [],
  postings: [],
  runs: [],
  dispatches: [],
  reclaimNotices: [],
  revisions: [],
  badVersions: [],
};
