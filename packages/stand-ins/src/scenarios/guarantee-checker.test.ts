import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { GuaranteeChecker } from './guarantee-checker.js';
import type { RunHistory } from './run-history.js';
import { EMPTY_RUN_HISTORY, PostingOutcome } from './run-history.js';
import { Guarantee } from './violation.js';

const RUN = { idempotencyKey: 'northside/p-1', path: '/postings', body: '{}' };
const OTHER_RUN = { ...RUN, idempotencyKey: 'northside/p-2' };
const ANSWER = {
  requestId: 'r-1',
  expectedText: 'the entry balances',
  text: 'the entry balances',
  failure: undefined,
};
const POSTING = {
  key: 'p-1',
  outcome: PostingOutcome.Ran,
  responseBody: '{"receipt":1}',
};
const DISPATCH = {
  endpoint: '10.0.0.1:8000',
  version: 'v2',
  streamId: 's-1',
  atMs: 5_000,
};

function kinds(history: Partial<RunHistory>): readonly Guarantee[] {
  const violations = new GuaranteeChecker().check({
    ...EMPTY_RUN_HISTORY,
    ...history,
  });
  return violations.map(each => each.guarantee);
}

describe('GuaranteeChecker', () => {
  it('reports no violation for a run that upholds every guarantee', () => {
    const history = { answers: [ANSWER], postings: [POSTING], runs: [RUN] };
    assert.deepEqual(kinds(history), []);
  });

  it('reports a truncated answer', () => {
    const answers = [{ ...ANSWER, text: 'the entry', failure: 'deadline' }];
    assert.deepEqual(kinds({ answers }), [Guarantee.CompleteAnswer]);
  });

  it('reports text that is repeated in an answer', () => {
    const answers = [{ ...ANSWER, text: 'the entry the entry balances' }];
    assert.deepEqual(kinds({ answers }), [Guarantee.CompleteAnswer]);
  });

  it('reports the answer to another request', () => {
    const other = { ...ANSWER, requestId: 'r-2', expectedText: 'no change' };
    const answers = [
      { ...ANSWER, text: 'no change' },
      { ...other, text: 'no change' },
    ];
    assert.deepEqual(kinds({ answers }), [Guarantee.MatchingAnswer]);
  });

  it('reports the receipt of another posting', () => {
    const history = { postings: [POSTING], runs: [OTHER_RUN, RUN] };
    assert.deepEqual(kinds(history), [Guarantee.MatchingAnswer]);
  });

  it('reports a posting that ran twice', () => {
    const history = { postings: [POSTING], runs: [RUN, RUN] };
    assert.deepEqual(kinds(history), [Guarantee.AtMostOnce]);
  });

  it('reports a posting that was answered but never ran', () => {
    const history = { postings: [POSTING], runs: [OTHER_RUN] };
    assert.deepEqual(kinds(history), [Guarantee.AnsweredPostingRan]);
  });

  it('reports a posting that ran but was reported as not run', () => {
    const posting = { ...POSTING, outcome: PostingOutcome.NotRun };
    const history = { postings: [posting], runs: [RUN] };
    assert.deepEqual(kinds(history), [Guarantee.RefusedPostingNotRun]);
    assert.deepEqual(kinds({ ...history, runs: [] }), []);
  });

  it('reports new work at an endpoint later than 5 s after its reclaim notice', () => {
    const { endpoint } = DISPATCH;
    const dispatches = [DISPATCH, { ...DISPATCH, atMs: 5_001 }];
    const reclaimNotices = [{ endpoint, announcedAtMs: 0 }];
    const violations = kinds({ dispatches, reclaimNotices });
    assert.deepEqual(violations, [Guarantee.NoWorkAfterReclaimNotice]);
  });

  it('reports a revision that decreases at one daemon', () => {
    const at = (daemonId: string, revision: number) => ({
      daemonId,
      revision,
      atMs: 0,
    });
    const rising = [at('a', 2), at('b', 1), at('a', 2), at('b', 3)];
    assert.deepEqual(kinds({ revisions: rising }), []);
    const revisions = [...rising, at('a', 1)];
    assert.deepEqual(kinds({ revisions }), [Guarantee.MonotonicRevision]);
  });

  it('reports a bad version whose share exceeds its limit', () => {
    const good = { ...DISPATCH, version: 'v1' };
    const bad = {
      version: 'v2',
      startedAtMs: 0,
      maxSharePercent: 50,
      alwaysAllowedRequests: 1,
    };
    const within = { dispatches: [good, DISPATCH], badVersions: [bad] };
    assert.deepEqual(kinds(within), []);
    const beyond = { ...within, dispatches: [good, DISPATCH, DISPATCH] };
    assert.deepEqual(kinds(beyond), [Guarantee.BoundedBadVersionShare]);
  });
});
