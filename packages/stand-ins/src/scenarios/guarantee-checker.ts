import { z } from 'zod';

import type {
  AnswerRecord,
  BadVersionLimit,
  PostingRecord,
  ReclaimNoticeRecord,
  RevisionRecord,
  RunHistory,
} from './run-history.js';
import { PostingOutcome } from './run-history.js';
import type { Violation } from './violation.js';
import { Guarantee } from './violation.js';

/** Time after a reclaim notice in which new work may still reach the endpoint. */
const RECLAIM_NOTICE_GRACE_MS = 5_000;

const receiptSchema = z.object({ receipt: z.int().positive() });

/** Checks the history of a run against the guarantees that must hold in every run. */
export class GuaranteeChecker {
  /** Returns every violation of a guarantee; empty where all guarantees hold. */
  check(history: RunHistory): readonly Violation[] {
    return [
      ...history.answers.flatMap(answer => checkAnswer(answer, history)),
      ...history.postings.flatMap(posting => checkPosting(posting, history)),
      ...checkAtMostOnce(history),
      ...history.reclaimNotices.flatMap(notice =>
        checkReclaimNotice(notice, history),
      ),
      ...checkRevisions(history.revisions),
      ...history.badVersions.flatMap(limit =>
        checkBadVersionShare(limit, history),
      ),
    ];
  }
}

function checkAnswer(
  answer: AnswerRecord,
  { answers }: RunHistory,
): readonly Violation[] {
  const { expectedText, failure, requestId, text } = answer;
  if (failure === undefined && text === expectedText) return [];
  const isPrefix = expectedText.startsWith(text);
  if (isPrefix) {
    const cause = failure ?? 'the stream ended';
    const received = `received ${text.length} of ${expectedText.length} characters`;
    return [
      violation(Guarantee.CompleteAnswer, requestId, `${received}; ${cause}`),
    ];
  }
  const other = answers.find(
    each => each !== answer && text !== '' && each.expectedText === text,
  );
  return other === undefined
    ? [
        violation(
          Guarantee.CompleteAnswer,
          requestId,
          `received unexpected text "${text}"`,
        ),
      ]
    : [
        violation(
          Guarantee.MatchingAnswer,
          requestId,
          `received the answer to ${other.requestId}`,
        ),
      ];
}

function checkPosting(
  posting: PostingRecord,
  history: RunHistory,
): readonly Violation[] {
  const { key, outcome } = posting;
  const runs = countRuns(key, history);
  switch (outcome) {
    case PostingOutcome.NotRun:
      return runs === 0
        ? []
        : [
            violation(
              Guarantee.RefusedPostingNotRun,
              key,
              `reported as not run but ran ${runs} times`,
            ),
          ];
    case PostingOutcome.Ran:
      return checkReceipt(posting, history);
    case PostingOutcome.Unknown:
      return [];
  }
}

/**
 * Checks that the answer carries the receipt of a run under the same key.
 * A receipt is the 1-based position of a run among all runs of the service.
 */
function checkReceipt(
  { key, responseBody }: PostingRecord,
  history: RunHistory,
): readonly Violation[] {
  if (countRuns(key, history) === 0) {
    return [
      violation(Guarantee.AnsweredPostingRan, key, 'answered but never ran'),
    ];
  }
  const receipt = parseReceipt(responseBody ?? '');
  const run = history.runs[(receipt ?? 0) - 1];
  if (run !== undefined && matchesKey(run.idempotencyKey, key)) return [];
  const message = `received the receipt of the run of ${run?.idempotencyKey ?? 'no key'}`;
  return [violation(Guarantee.MatchingAnswer, key, message)];
}

function checkAtMostOnce({ runs }: RunHistory): readonly Violation[] {
  const counts = new Map<string, number>();
  for (const { idempotencyKey } of runs) {
    if (idempotencyKey === undefined) continue;
    counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) =>
      violation(Guarantee.AtMostOnce, key, `ran ${count} times`),
    );
}

function checkReclaimNotice(
  { announcedAtMs, endpoint }: ReclaimNoticeRecord,
  { dispatches }: RunHistory,
): readonly Violation[] {
  return dispatches
    .filter(each => each.endpoint === endpoint)
    .map(each => ({ ...each, lateMs: each.atMs - announcedAtMs }))
    .filter(({ lateMs }) => lateMs > RECLAIM_NOTICE_GRACE_MS)
    .map(({ lateMs, streamId }) =>
      violation(
        Guarantee.NoWorkAfterReclaimNotice,
        endpoint,
        `received stream ${streamId} ${lateMs} ms after its reclaim notice`,
      ),
    );
}

function checkRevisions(
  revisions: readonly RevisionRecord[],
): readonly Violation[] {
  const latestRevisions = new Map<string, number>();
  const violations: Violation[] = [];
  for (const { daemonId, revision } of revisions) {
    const previous = latestRevisions.get(daemonId) ?? 0;
    latestRevisions.set(daemonId, Math.max(previous, revision));
    if (revision >= previous) continue;
    const message = `went back from revision ${previous} to ${revision}`;
    violations.push(violation(Guarantee.MonotonicRevision, daemonId, message));
  }
  return violations;
}

function checkBadVersionShare(
  limit: BadVersionLimit,
  { dispatches }: RunHistory,
): readonly Violation[] {
  const counted = dispatches.filter(each => each.atMs >= limit.startedAtMs);
  const count = counted.filter(each => each.version === limit.version).length;
  const maxCount = (counted.length * limit.maxSharePercent) / 100;
  if (count <= Math.max(limit.alwaysAllowedRequests, maxCount)) return [];
  const message = `received ${count} of ${counted.length} requests, more than ${limit.maxSharePercent}%`;
  return [violation(Guarantee.BoundedBadVersionShare, limit.version, message)];
}

function countRuns(key: string, { runs }: RunHistory): number {
  return runs.filter(run => matchesKey(run.idempotencyKey, key)).length;
}

/** Returns whether a service received the key, which daemons may prefix with the workspace. */
function matchesKey(serviceKey: string | undefined, key: string): boolean {
  return serviceKey === key || serviceKey?.endsWith(`/${key}`) === true;
}

function parseReceipt(body: string): number | undefined {
  try {
    return receiptSchema.safeParse(JSON.parse(body)).data?.receipt;
  } catch {
    return undefined;
  }
}

function violation(
  guarantee: Guarantee,
  subject: string,
  message: string,
): Violation {
  return { guarantee, subject, message };
}
