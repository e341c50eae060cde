import { z } from 'zod';

import type {
  AnswerEvidence,
  BadVersionEvidence,
  Evidence,
  LeavingEvidence,
  PostingEvidence,
  RevisionEvidence,
} from './evidence.js';
import { PostingOutcome } from './evidence.js';
import type { Violation } from './violation.js';
import { PromiseKind } from './violation.js';

/** Time after an announcement in which new work may still reach the endpoint. */
const LEAVING_GRACE_MS = 5_000;

const receiptSchema = z.object({ receipt: z.int().positive() });

/** Checks what a run has left against the promises that must always hold. */
export class PromiseChecker {
  /** Every promise that did not hold; empty where all did. */
  check(evidence: Evidence): readonly Violation[] {
    return [
      ...evidence.answers.flatMap(each => checkAnswer(each, evidence)),
      ...evidence.postings.flatMap(each => checkPosting(each, evidence)),
      ...checkRuns(evidence),
      ...evidence.leavings.flatMap(each => checkLeaving(each, evidence)),
      ...checkRevisions(evidence.revisions),
      ...evidence.badVersions.flatMap(each => checkShare(each, evidence)),
    ];
  }
}

function checkAnswer(
  answer: AnswerEvidence,
  { answers }: Evidence,
): readonly Violation[] {
  const { expectedText, failure, requestId, text } = answer;
  if (failure === undefined && text === expectedText) return [];
  const isPrefix = expectedText.startsWith(text);
  if (isPrefix) {
    const end = failure ?? 'the stream ended';
    const counts = `${text.length} of ${expectedText.length} characters`;
    return [violation(PromiseKind.WholeAnswer, requestId, `${counts}; ${end}`)];
  }
  const other = answers.find(
    each => each !== answer && text !== '' && each.expectedText === text,
  );
  return other === undefined
    ? [violation(PromiseKind.WholeAnswer, requestId, `the text is "${text}"`)]
    : [
        violation(
          PromiseKind.OwnAnswer,
          requestId,
          `the text is the answer to ${other.requestId}`,
        ),
      ];
}

function checkPosting(
  posting: PostingEvidence,
  evidence: Evidence,
): readonly Violation[] {
  const { key, outcome } = posting;
  const runs = runsOf(key, evidence);
  switch (outcome) {
    case PostingOutcome.NotRun:
      return runs === 0
        ? []
        : [
            violation(
              PromiseKind.TrueNotRun,
              key,
              `refused as not run, and ran ${runs} times`,
            ),
          ];
    case PostingOutcome.Ran:
      return checkReceipt(posting, evidence);
    case PostingOutcome.Unknown:
      return [];
  }
}

/** Compares the answer with the run that its receipt names. */
function checkReceipt(
  { key, responseBody }: PostingEvidence,
  evidence: Evidence,
): readonly Violation[] {
  if (runsOf(key, evidence) === 0) {
    return [violation(PromiseKind.TrueRan, key, 'answered, and never ran')];
  }
  const receipt = receiptOf(responseBody ?? '');
  const run = evidence.runs[(receipt ?? 0) - 1];
  if (run !== undefined && isKeyOf(run.idempotencyKey, key)) return [];
  const message = `the answer is of the run of ${run?.idempotencyKey ?? 'no key'}`;
  return [violation(PromiseKind.OwnAnswer, key, message)];
}

function checkRuns({ runs }: Evidence): readonly Violation[] {
  const counts = new Map<string, number>();
  for (const { idempotencyKey } of runs) {
    if (idempotencyKey === undefined) continue;
    counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) =>
      violation(PromiseKind.AtMostOnce, key, `ran ${count} times`),
    );
}

function checkLeaving(
  { announcedAtMs, endpoint }: LeavingEvidence,
  { dispatches }: Evidence,
): readonly Violation[] {
  return dispatches
    .filter(each => each.endpoint === endpoint)
    .map(each => ({ ...each, lateMs: each.atMs - announcedAtMs }))
    .filter(({ lateMs }) => lateMs > LEAVING_GRACE_MS)
    .map(({ lateMs, streamId }) =>
      violation(
        PromiseKind.NoWorkToLeaving,
        endpoint,
        `got stream ${streamId} ${lateMs} ms after its reclaim was announced`,
      ),
    );
}

function checkRevisions(
  revisions: readonly RevisionEvidence[],
): readonly Violation[] {
  const newest = new Map<string, number>();
  const violations: Violation[] = [];
  for (const { daemonId, revision } of revisions) {
    const before = newest.get(daemonId) ?? 0;
    newest.set(daemonId, Math.max(before, revision));
    if (revision >= before) continue;
    const message = `went from revision ${before} back to ${revision}`;
    violations.push(violation(PromiseKind.RisingRevision, daemonId, message));
  }
  return violations;
}

function checkShare(
  bad: BadVersionEvidence,
  { dispatches }: Evidence,
): readonly Violation[] {
  const moved = dispatches.filter(each => each.atMs >= bad.movedAtMs);
  const count = moved.filter(each => each.version === bad.version).length;
  const shareLimit = (moved.length * bad.maxSharePercent) / 100;
  if (count <= Math.max(bad.minRequests, shareLimit)) return [];
  const message = `got ${count} of ${moved.length} requests, more than ${bad.maxSharePercent}%`;
  return [violation(PromiseKind.BoundedBadShare, bad.version, message)];
}

function runsOf(key: string, { runs }: Evidence): number {
  return runs.filter(run => isKeyOf(run.idempotencyKey, key)).length;
}

/** Whether a service was given the key; it may be given the workspace before it. */
function isKeyOf(serviceKey: string | undefined, key: string): boolean {
  return serviceKey === key || serviceKey?.endsWith(`/${key}`) === true;
}

function receiptOf(body: string): number | undefined {
  try {
    return receiptSchema.safeParse(JSON.parse(body)).data?.receipt;
  } catch {
    return undefined;
  }
}

function violation(
  promise: PromiseKind,
  subject: string,
  message: string,
): Violation {
  return { promise, subject, message };
}
