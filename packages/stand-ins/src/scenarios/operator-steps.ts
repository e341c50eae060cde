import assert from 'node:assert/strict';

import type { ScenarioContext } from './scenario-context.js';
import type { StepRegistry } from './step-registry.js';

const APPLIED = 'applied';

/** Adds the steps in which operators change rules and start moves, and those that check the effect. */
export function addOperatorSteps(steps: StepRegistry<ScenarioContext>): void {
  steps
    .add(
      /^two operators add these rules at once: "(.+)" and "(.+)"$/,
      addRulesConcurrently,
    )
    .add(/^an operator starts a move from (\S+) to (\S+)$/, startVersionMove)
    .add(
      /^every rule that was accepted is in force at every daemon$/,
      waitForAcceptedRules,
    )
    .add(/^(\d+) rules were accepted$/, ({ ruleOutcomes }, count) => {
      const accepted = [...ruleOutcomes.values()].filter(
        outcome => outcome === APPLIED,
      );
      assert.equal(accepted.length, Number(count));
    })
    .add(/^the rules in force are those of before$/, ({ world }) => {
      for (const { daemon } of world.deployment.daemons) {
        assert.equal(daemon.wiring.pipelineDeps.rules.revision, 1);
      }
    });
}

/** Lets both operators read the same revision through different daemons, then write at the same time. */
async function addRulesConcurrently(
  { ruleOutcomes, world }: ScenarioContext,
  ...lines: readonly string[]
): Promise<void> {
  const { daemons } = world.deployment;
  const addresses = lines.map(
    (_, index) => daemons[index % daemons.length]?.addresses.operators ?? '',
  );
  const bases = await Promise.all(
    addresses.map(address => world.operators.readRules(address)),
  );
  await Promise.all(
    lines.map(async (line, index) => {
      const base = bases[index];
      assert.ok(base !== undefined);
      const address = addresses[index] ?? '';
      const outcome = await world.operators.addRule(address, base, line);
      ruleOutcomes.set(line, outcome);
    }),
  );
}

/** Starts a version move and waits until every daemon lists it. */
async function startVersionMove(
  context: ScenarioContext,
  from = '',
  to = '',
): Promise<void> {
  const { deployment, operators } = context.world;
  const addresses = deployment.daemons.map(each => each.addresses.operators);
  const line = `group=ruling-model from=${from} to=${to} kinds=chat deadline=2100-01-01T00:00:00Z # operations, newer weights`;
  const outcome = await operators.startMove(addresses[0] ?? '', line);
  assert.equal(outcome, 'started');
  await context.waitUntil('every daemon lists the move', async () => {
    const counts = await Promise.all(
      addresses.map(address => operators.countMoves(address)),
    );
    return counts.every(count => count === 1);
  });
}

async function waitForAcceptedRules(context: ScenarioContext): Promise<void> {
  const { daemons } = context.world.deployment;
  const acceptedLines = [...context.ruleOutcomes]
    .filter(([, outcome]) => outcome === APPLIED)
    .map(([line]) => line);
  await context.waitUntil(
    'the accepted rules are in force at every daemon',
    () =>
      daemons.every(({ daemon }) => {
        const lines = daemon.wiring.pipelineDeps.rules.text.split('\n');
        return acceptedLines.every(line => lines.includes(line));
      }),
  );
}
