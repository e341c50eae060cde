import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  AnswerLostError,
  ManualClock,
  Priority,
  SeededRandom,
} from '../ports/index.js';
import {
  BudgetedRetryPolicy,
  LookupHedgePolicy,
  RetryBudget,
} from '../routing/index.js';
import { RepeatableDispatcher } from './repeatable-dispatcher.js';

const TYPICAL_LATENCY_MS = 10;
const HEDGE_AT_MS = 10;

function createFixture(budgetedRetries: number) {
  const clock = new ManualClock();
  const budget = new RetryBudget();
  for (let index = 0; index < budgetedRetries * 10 + 1; index += 1) {
    budget.recordFirstAttempt();
  }
  const hedges = new LookupHedgePolicy(budget);
  for (let index = 0; index < 50; index += 1) {
    hedges.recordLatency(TYPICAL_LATENCY_MS);
  }
  const retries = new BudgetedRetryPolicy(budget, new SeededRandom(1));
  return {
    clock,
    dispatcher: new RepeatableDispatcher(clock, retries, hedges),
  };
}

/** Creates a call whose attempts end as given; an attempt with an undefined end never settles. */
function createCall(attemptEnds: readonly (string | Error | undefined)[]) {
  const signals: AbortSignal[] = [];
  const call = {
    priority: Priority.Lookup,
    deadlineAtMs: 60_000,
    attempt: (
      triedAddresses: Set<string>,
      signal: AbortSignal,
    ): Promise<string> => {
      const end = attemptEnds[triedAddresses.size];
      triedAddresses.add(`endpoint-${triedAddresses.size}`);
      signals.push(signal);
      if (end instanceof Error) return Promise.reject(end);
      if (end !== undefined) return Promise.resolve(end);
      return new Promise(() => undefined);
    },
  };
  return { call, signals };
}

const ANSWER_LOST = new AnswerLostError('The answer was lost; ask again.');
const { signal } = new AbortController();

describe('RepeatableDispatcher', () => {
  it('retries a failed attempt and returns the response of the second', async () => {
    const { clock, dispatcher } = createFixture(5);
    const { call } = createCall([ANSWER_LOST, 'answer']);
    const answer = dispatcher.run(call, signal);
    await clock.advanceTo(1_000);
    assert.equal(await answer, 'answer');
  });

  it('fails at once when the retry budget is exhausted', async () => {
    const { dispatcher } = createFixture(0);
    const { call, signals } = createCall([ANSWER_LOST, 'answer']);
    await assert.rejects(dispatcher.run(call, signal), ANSWER_LOST);
    assert.equal(signals.length, 1);
  });

  it('hedges a slow look-up and cancels the slower attempt', async () => {
    const { clock, dispatcher } = createFixture(5);
    const { call, signals } = createCall([undefined, 'hedged']);
    const answer = dispatcher.run(call, signal);
    await clock.advanceTo(HEDGE_AT_MS - 1);
    assert.equal(signals.length, 1);
    await clock.advanceTo(HEDGE_AT_MS);
    assert.equal(await answer, 'hedged');
    assert.ok(signals[0]?.aborted);
  });

  it('sends no hedge when the retry budget is exhausted', async () => {
    const { clock, dispatcher } = createFixture(0);
    const { call, signals } = createCall([undefined, 'hedged']);
    void dispatcher.run(call, signal);
    await clock.advanceTo(1_000);
    assert.equal(signals.length, 1);
  });

  it('rethrows errors other than PlatformError without a retry', async () => {
    const { dispatcher } = createFixture(5);
    const unexpectedError = new TypeError('Unexpected error.');
    const { call, signals } = createCall([unexpectedError, 'answer']);
    await assert.rejects(dispatcher.run(call, signal), unexpectedError);
    assert.equal(signals.length, 1);
  });
});
