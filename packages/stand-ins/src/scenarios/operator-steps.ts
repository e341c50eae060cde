import assert from 'node:assert/strict';

import type { ScenarioContext } from './scenario-context.js';
import type { StepRegistry } from './step-registry.js';

const APPLIED = 'applied';

/** Adds what operators do and what comes into force. */
export function addOperatorSteps(steps: StepRegistry<ScenarioContext>): void {
  steps
    .add(/^two operators add these rules at once: "(.+)" and "(.+)"$/, addBoth)
    .add(/^an operator starts a move from (\S+) to (\S+)$/, startMove)
    .add(/^every rule that was accepted is in force at every daemon$/, inForce)
    .add(/^(\d+) rules were accepted$/, ({ addedRules }, count) => {
      const accepted = [...addedRules.values()].filter(
        outcome => outcome === APPLIED,
      );
      assert.equal(accepted.length, Number(count));
    })
    .add(/^the rules in force are those of before$/, ({ world }) => {
      for (const { daemon } of world.deployment.daemons) {
        assert.equal(daemon.wiring.parts.rules.revision, 1);
      }
    });
}

/** Both operators read the same revision through different daemons, then write. */
async function addBoth(
  { addedRules, world }: ScenarioContext,
  ...lines: readonly string[]
): Promise<void> {
  const { daemons } = world.deployment;
  const addresses = lines.map(
    (_, index) => daemons[index % daemons.length]?.addresses.operators ?? '',
  );
  const bases = await Promise.all(
    addresses.map(each => world.operators.readRules(each)),
  );
  await Promise.all(
    lines.map(async (line, index) => {
      const base = bases[index];
      assert.ok(base !== undefined);
      const address = addresses[index] ?? '';
      const outcome = await world.operators.addRule(address, base, line);
      addedRules.set(line, outcome);
    }),
  );
}

/** Starts the move and waits until every daemon knows it. */
async function startMove(
  context: ScenarioContext,
  from = '',
  to = '',
): Promise<void> {
  const { deployment, operators } = context.world;
  const addresses = deployment.daemons.map(each => each.addresses.operators);
  const line = `group=ruling-model from=${from} to=${to} kinds=chat deadline=2100-01-01T00:00:00Z # operations, newer weights`;
  const outcome = await operators.startMove(addresses[0] ?? '', line);
  assert.equal(outcome, 'started');
  await context.until('every daemon knows the move', async () => {
    const counts = await Promise.all(
      addresses.map(each => operators.countMoves(each)),
    );
    return counts.every(count => count === 1);
  });
}

async function inForce(context: ScenarioContext): Promise<void> {
  const { daemons } = context.world.deployment;
  const accepted = [...context.addedRules]
    .filter(([, outcome]) => outcome === APPLIED)
    .map(([line]) => line);
  await context.until('every daemon has the accepted rules', () =>
    daemons.every(({ daemon }) => {
      const lines = daemon.wiring.parts.rules.text.split('\n');
      return accepted.every(line => lines.includes(line));
    }),
  );
}
