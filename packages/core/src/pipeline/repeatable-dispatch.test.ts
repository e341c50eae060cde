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
import { RepeatableDispatch } from './repeatable-dispatch.js';

const USUAL_LATENCY_MS = 10;
const HEDGE_AT_MS = 10;

function setUp(savedRepeats: number) {
  const clock = new ManualClock();
  const budget = new RetryBudget();
  for (let count = 0; count < savedRepeats * 10 + 1; count += 1) {
    budget.recordFirstAttempt();
  }
  const hedges = new LookupHedgePolicy(budget);
  for (let count = 0; count < 50; count += 1) {
    hedges.recordLatency(USUAL_LATENCY_MS);
  }
  const retries = new BudgetedRetryPolicy(budget, new SeededRandom(1));
  return { clock, dispatch: new RepeatableDispatch(clock, retries, hedges) };
}

/** Call whose attempts end as given; an undefined end never comes. */
function callWith(ends: readonly (string | Error | undefined)[]) {
  const signals: AbortSignal[] = [];
  const call = {
    priority: Priority.Lookup,
    deadlineAtMs: 60_000,
    attempt: (tried: Set<string>, signal: AbortSignal): Promise<string> => {
      const end = ends[tried.size];
      tried.add(`endpoint-${tried.size}`);
      signals.push(signal);
      if (end instanceof Error) return Promise.reject(end);
      if (end !== undefined) return Promise.resolve(end);
      return new Promise(() => undefined);
    },
  };
  return { call, signals };
}

const LOST = new AnswerLostError('The answer was lost; ask again.');
const { signal } = new AbortController();

describe('RepeatableDispatch', () => {
  it('retries a failed attempt and answers with the second', async () => {
    const { clock, dispatch } = setUp(5);
    const { call } = callWith([LOST, 'answer']);
    const answer = dispatch.run(call, signal);
    await clock.advanceTo(1_000);
    assert.equal(await answer, 'answer');
  });

  it('gives up at once where the budget is spent', async () => {
    const { dispatch } = setUp(0);
    const { call, signals } = callWith([LOST, 'answer']);
    await assert.rejects(dispatch.run(call, signal), LOST);
    assert.equal(signals.length, 1);
  });

  it('hedges a slow look-up and cancels the attempt that loses', async () => {
    const { clock, dispatch } = setUp(5);
    const { call, signals } = callWith([undefined, 'hedged']);
    const answer = dispatch.run(call, signal);
    await clock.advanceTo(HEDGE_AT_MS - 1);
    assert.equal(signals.length, 1);
    await clock.advanceTo(HEDGE_AT_MS);
    assert.equal(await answer, 'hedged');
    assert.ok(signals[0]?.aborted);
  });

  it('sends no hedge without budget', async () => {
    const { clock, dispatch } = setUp(0);
    const { call, signals } = callWith([undefined, 'hedged']);
    void dispatch.run(call, signal);
    await clock.advanceTo(1_000);
    assert.equal(signals.length, 1);
  });

  it('passes on errors that are not the platform’s without a retry', async () => {
    const { dispatch } = setUp(5);
    const fault = new TypeError('A fault of the program.');
    const { call, signals } = callWith([fault, 'answer']);
    await assert.rejects(dispatch.run(call, signal), fault);
    assert.equal(signals.length, 1);
  });
});
