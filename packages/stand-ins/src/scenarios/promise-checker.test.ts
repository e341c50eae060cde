import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Evidence } from './evidence.js';
import { NO_EVIDENCE, PostingOutcome } from './evidence.js';
import { PromiseChecker } from './promise-checker.js';
import { PromiseKind } from './violation.js';

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

function kinds(evidence: Partial<Evidence>): readonly PromiseKind[] {
  const violations = new PromiseChecker().check({
    ...NO_EVIDENCE,
    ...evidence,
  });
  return violations.map(each => each.promise);
}

describe('the checker of promises', () => {
  it('finds nothing in a run that kept them', () => {
    const evidence = { answers: [ANSWER], postings: [POSTING], runs: [RUN] };
    assert.deepEqual(kinds(evidence), []);
  });

  it('finds an answer that is cut off', () => {
    const answers = [{ ...ANSWER, text: 'the entry', failure: 'deadline' }];
    assert.deepEqual(kinds({ answers }), [PromiseKind.WholeAnswer]);
  });

  it('finds text that stands twice', () => {
    const answers = [{ ...ANSWER, text: 'the entry the entry balances' }];
    assert.deepEqual(kinds({ answers }), [PromiseKind.WholeAnswer]);
  });

  it('finds the answer to another request', () => {
    const other = { ...ANSWER, requestId: 'r-2', expectedText: 'no change' };
    const answers = [
      { ...ANSWER, text: 'no change' },
      { ...other, text: 'no change' },
    ];
    assert.deepEqual(kinds({ answers }), [PromiseKind.OwnAnswer]);
  });

  it('finds the receipt of another posting', () => {
    const evidence = { postings: [POSTING], runs: [OTHER_RUN, RUN] };
    assert.deepEqual(kinds(evidence), [PromiseKind.OwnAnswer]);
  });

  it('finds a posting that ran twice', () => {
    const evidence = { postings: [POSTING], runs: [RUN, RUN] };
    assert.deepEqual(kinds(evidence), [PromiseKind.AtMostOnce]);
  });

  it('finds a posting that was answered and never ran', () => {
    const evidence = { postings: [POSTING], runs: [OTHER_RUN] };
    assert.deepEqual(kinds(evidence), [PromiseKind.TrueRan]);
  });

  it('finds a posting that ran after "not run"', () => {
    const posting = { ...POSTING, outcome: PostingOutcome.NotRun };
    const evidence = { postings: [posting], runs: [RUN] };
    assert.deepEqual(kinds(evidence), [PromiseKind.TrueNotRun]);
    assert.deepEqual(kinds({ ...evidence, runs: [] }), []);
  });

  it('finds new work at an endpoint that left long before', () => {
    const { endpoint } = DISPATCH;
    const dispatches = [DISPATCH, { ...DISPATCH, atMs: 5_001 }];
    const leavings = [{ endpoint, announcedAtMs: 0 }];
    const found = kinds({ dispatches, leavings });
    assert.deepEqual(found, [PromiseKind.NoWorkToLeaving]);
  });

  it('finds a revision that falls at one daemon', () => {
    const at = (daemonId: string, revision: number) => ({
      daemonId,
      revision,
      atMs: 0,
    });
    const rising = [at('a', 2), at('b', 1), at('a', 2), at('b', 3)];
    assert.deepEqual(kinds({ revisions: rising }), []);
    const revisions = [...rising, at('a', 1)];
    assert.deepEqual(kinds({ revisions }), [PromiseKind.RisingRevision]);
  });

  it('finds too large a share of a bad version', () => {
    const good = { ...DISPATCH, version: 'v1' };
    const bad = {
      version: 'v2',
      movedAtMs: 0,
      maxSharePercent: 50,
      minRequests: 1,
    };
    const within = { dispatches: [good, DISPATCH], badVersions: [bad] };
    assert.deepEqual(kinds(within), []);
    const beyond = { ...within, dispatches: [good, DISPATCH, DISPATCH] };
    assert.deepEqual(kinds(beyond), [PromiseKind.BoundedBadShare]);
  });
});
