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

function setUp(saved = 10) {
  const budget = new RetryBudget();
  for (let count = 0; count < saved * 10 + 1; count += 1) {
    budget.recordFirstAttempt();
  }
  const random = new SeededRandom(5);
  return { budget, policy: new BudgetedRetryPolicy(budget, random) };
}

const FAILED = { mayRepeat: true, attempts: 1, deadlineAtMs: 10_000 };

describe('BudgetedRetryPolicy', () => {
  it('repeats no more than the share of first attempts, in any order', () => {
    const budgetedRuns = fc.array(fc.boolean(), { maxLength: 400 });
    fc.assert(
      fc.property(budgetedRuns, failures => {
        const budget = new RetryBudget();
        const policy = new BudgetedRetryPolicy(budget, new SeededRandom(1));
        let retries = 0;
        for (const fails of failures) {
          policy.recordFirstAttempt();
          if (!fails) continue;
          const { action } = policy.decide(FAILED, 0);
          if (action === RetryAction.Retry) retries += 1;
        }
        assert.ok(retries <= failures.length * 0.1 + 1e-6);
      }),
      { seed: 3, numRuns: 300 },
    );
  });

  it('gives up on what may not be repeated', () => {
    const { policy } = setUp();
    assert.deepEqual(policy.decide({ ...FAILED, mayRepeat: false }, 0), {
      action: RetryAction.GiveUp,
      reason: GiveUpReason.NotRepeatable,
    });
  });

  it('gives up where the backoff would end after the deadline', () => {
    const { policy } = setUp();
    assert.deepEqual(policy.decide({ ...FAILED, deadlineAtMs: 100 }, 100), {
      action: RetryAction.GiveUp,
      reason: GiveUpReason.DeadlineTooClose,
    });
  });

  it('retries within the backoff, which doubles', () => {
    const { policy } = setUp();
    for (const attempts of [1, 2]) {
      const decision = policy.decide({ ...FAILED, attempts }, 100);
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

  it('hedges repeatable look-ups after the usual latency', () => {
    const { budget } = setUp();
    const policy = new LookupHedgePolicy(budget);
    assert.equal(policy.hedgeAtMs(lookup, 0), undefined);
    for (let ms = 1; ms <= 100; ms += 1) policy.recordLatency(ms);
    assert.equal(policy.hedgeAtMs(lookup, 1_000), 1_096);
  });

  it('hedges no draft, nothing past its deadline and nothing that may not be repeated', () => {
    const policy = new LookupHedgePolicy(setUp().budget);
    for (let ms = 1; ms <= 100; ms += 1) policy.recordLatency(ms);
    const draft = { ...lookup, priority: Priority.Draft };
    assert.equal(policy.hedgeAtMs(draft, 0), undefined);
    const once = { ...lookup, mayRepeat: false };
    assert.equal(policy.hedgeAtMs(once, 0), undefined);
    assert.equal(policy.hedgeAtMs(lookup, 9_950), undefined);
  });

  it('shares its budget with the retries', () => {
    const { budget, policy } = setUp(1);
    assert.ok(new LookupHedgePolicy(budget).tryTake());
    assert.deepEqual(policy.decide(FAILED, 0), {
      action: RetryAction.GiveUp,
      reason: GiveUpReason.BudgetSpent,
    });
  });
});
