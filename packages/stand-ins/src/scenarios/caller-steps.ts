import assert from 'node:assert/strict';

import { PostingOutcome } from './evidence.js';
import type { ScenarioContext } from './scenario-context.js';
import type { StepRegistry } from './step-registry.js';

/** Adds what callers do and what they have in the end. */
export function addCallerSteps(steps: StepRegistry<ScenarioContext>): void {
  steps
    .add(/^(\d+) callers stream an answer$/, streamAnswers)
    .add(/^(\d+) callers send a posting$/, (context, count) => {
      const { callers } = context.world;
      context.postings = times(count, () => callers.post());
    })
    .add(/^(\d+) callers send a posting once$/, (context, count) => {
      const { callers } = context.world;
      context.postings = times(count, () => callers.postOnce());
    })
    .add(/^the ledger is running a posting$/, context =>
      context.until('the ledger runs a posting', () => {
        return context.world.deployment.service.runs.length > 0;
      }),
    )
    .add(/^every caller has its whole answer$/, expectAnswers)
    .add(/^every posting is told "(\w+)"$/, expectPostings)
    .add(/^the ledger has run (\d+) postings$/, (context, count) => {
      const { runs } = context.world.deployment.service;
      assert.equal(runs.length, Number(count));
    })
    .add(/^every promise holds$/, context =>
      context.world.expectEveryPromise(),
    );
}

async function streamAnswers(
  context: ScenarioContext,
  count?: string,
): Promise<void> {
  const { callers } = context.world;
  context.answers = times(count, () => callers.ask());
  await context.until('every caller has some text', () =>
    context.answers.every(each => each.text !== ''),
  );
}

async function expectAnswers(context: ScenarioContext): Promise<void> {
  for (const { ended } of context.answers) {
    const { expectedText, text } = await ended;
    assert.equal(text, expectedText);
  }
}

async function expectPostings(
  context: ScenarioContext,
  expected = '',
): Promise<void> {
  const outcomes = await Promise.all(context.postings.map(each => each.ended));
  const known: readonly string[] = Object.values(PostingOutcome);
  assert.ok(known.includes(expected), `There is no outcome "${expected}".`);
  const told = outcomes.map(each => each.outcome as string);
  assert.deepEqual(
    told,
    told.map(() => expected),
  );
}

function times<T>(count: string | undefined, make: () => T): readonly T[] {
  return Array.from({ length: Number(count) }, make);
}
