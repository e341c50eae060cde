import assert from 'node:assert/strict';

import { PostingOutcome } from './run-history.js';
import type { ScenarioContext } from './scenario-context.js';
import type { StepRegistry } from './step-registry.js';

/** Adds the steps in which callers send requests, and those that check their outcomes. */
export function addCallerSteps(steps: StepRegistry<ScenarioContext>): void {
  steps
    .add(/^(\d+) callers stream an answer$/, streamAnswers)
    .add(/^(\d+) callers send a posting$/, (context, count) => {
      const { callers } = context.world;
      context.postings = times(count, () => callers.sendPosting());
    })
    .add(/^(\d+) callers send a posting once$/, (context, count) => {
      const { callers } = context.world;
      context.postings = times(count, () => callers.sendPostingOnce());
    })
    .add(/^the ledger is running a posting$/, context =>
      context.waitUntil('the ledger has started a posting', () => {
        return context.world.deployment.service.runs.length > 0;
      }),
    )
    .add(/^every caller has its whole answer$/, assertCompleteAnswers)
    .add(/^every posting is told "(\w+)"$/, assertPostingOutcomes)
    .add(/^the ledger has run (\d+) postings$/, (context, count) => {
      const { runs } = context.world.deployment.service;
      assert.equal(runs.length, Number(count));
    })
    .add(/^every promise holds$/, context => context.world.assertGuarantees());
}

async function streamAnswers(
  context: ScenarioContext,
  count?: string,
): Promise<void> {
  const { callers } = context.world;
  context.answers = times(count, () => callers.startCompletion());
  await context.waitUntil('every caller has received some text', () =>
    context.answers.every(answer => answer.text !== ''),
  );
}

async function assertCompleteAnswers(context: ScenarioContext): Promise<void> {
  for (const { ended } of context.answers) {
    const { expectedText, text } = await ended;
    assert.equal(text, expectedText);
  }
}

async function assertPostingOutcomes(
  context: ScenarioContext,
  expected = '',
): Promise<void> {
  const outcomes = await Promise.all(context.postings.map(each => each.ended));
  const knownOutcomes: readonly string[] = Object.values(PostingOutcome);
  assert.ok(knownOutcomes.includes(expected), `Unknown outcome "${expected}".`);
  const actual = outcomes.map(each => each.outcome as string);
  assert.deepEqual(
    actual,
    actual.map(() => expected),
  );
}

function times<T>(count: string | undefined, create: () => T): readonly T[] {
  return Array.from({ length: Number(count) }, create);
}
