import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { Priority, SeededRandom } from '../ports/index.js';
import { LookupHedgePolicy } from './hedge-policy.js';
import { RetryBudget } from './retry-budget.js';
import {
  BudgetedRetryPolicy,
  GiveUpReason,
  RetryAction,
} from './retry-policy.js';

function setUp(budgetSize = 10) {
  const budget = new RetryBudget();
  for (let count = 0; count < budgetSize * 10 + 1; count += 1) {
    budget.recordFirstAttempt();
  }
  const random = new SeededRandom(5);
  return { budget, policy: new BudgetedRetryPolicy(budget, random) };
}

const FAILED_ATTEMPT = { mayRepeat: true, attempts: 1, deadlineAtMs: 10_000 };

describe('BudgetedRetryPolicy', () => {
  it('limits retries to a share of first attempts for any sequence of failures', () => {
    const failureSequences = fc.array(fc.boolean(), { maxLength: 400 });
    fc.assert(
      fc.property(failureSequences, failures => {
        const budget = new RetryBudget();
        const policy = new BudgetedRetryPolicy(budget, new SeededRandom(1));
        let retries = 0;
        for (const hasFailed of failures) {
          policy.recordFirstAttempt();
          if (!hasFailed) continue;
          const { action } = policy.decide(FAILED_ATTEMPT, 0);
          if (action === RetryAction.Retry) retries += 1;
        }
        assert.ok(retries <= failures.length * 0.1 + 1e-6);
      }),
      { seed: 3, numRuns: 300 },
    );
  });

  it('gives up on requests that are not repeatable', () => {
    const { policy } = setUp();
    assert.deepEqual(
      policy.decide({ ...FAILED_ATTEMPT, mayRepeat: false }, 0),
      {
        action: RetryAction.GiveUp,
        reason: GiveUpReason.NotRepeatable,
      },
    );
  });

  it('gives up when the backoff would end after the deadline', () => {
    const { policy } = setUp();
    assert.deepEqual(
      policy.decide({ ...FAILED_ATTEMPT, deadlineAtMs: 100 }, 100),
      {
        action: RetryAction.GiveUp,
        reason: GiveUpReason.DeadlineTooClose,
      },
    );
  });

  it('retries within an exponentially growing backoff', () => {
    const { policy } = setUp();
    for (const attempts of [1, 2]) {
      const decision = policy.decide({ ...FAILED_ATTEMPT, attempts }, 100);
      assert.equal(decision.action, RetryAction.Retry);
      assert.ok(decision.retryAtMs >= 100);
      assert.ok(decision.retryAtMs <= 100 + 25 * attempts);
    }
  });
});

describe('LookupHedgePolicy', () => {
  const lookup = {
    priority: Priority.Lookup,
    mayRepeat: true,
    deadlineAtMs: 10_000,
  };

  it('hedges repeatable look-ups after the latency percentile', () => {
    const { budget } = setUp();
    const policy = new LookupHedgePolicy(budget);
    assert.equal(policy.hedgeAtMs(lookup, 0), undefined);
    for (let latencyMs = 1; latencyMs <= 100; latencyMs += 1)
      policy.recordLatency(latencyMs);
    assert.equal(policy.hedgeAtMs(lookup, 1_000), 1_096);
  });

  it('does not hedge drafts, non-repeatable look-ups or look-ups whose deadline is too close', () => {
    const policy = new LookupHedgePolicy(setUp().budget);
    for (let latencyMs = 1; latencyMs <= 100; latencyMs += 1)
      policy.recordLatency(latencyMs);
    const draft = { ...lookup, priority: Priority.Draft };
    assert.equal(policy.hedgeAtMs(draft, 0), undefined);
    const notRepeatable = { ...lookup, mayRepeat: false };
    assert.equal(policy.hedgeAtMs(notRepeatable, 0), undefined);
    assert.equal(policy.hedgeAtMs(lookup, 9_950), undefined);
  });

  it('shares its budget with retries', () => {
    const { budget, policy } = setUp(1);
    assert.ok(new LookupHedgePolicy(budget).tryAcquire());
    assert.deepEqual(policy.decide(FAILED_ATTEMPT, 0), {
      action: RetryAction.GiveUp,
      reason: GiveUpReason.BudgetExhausted,
    });
  });
});
