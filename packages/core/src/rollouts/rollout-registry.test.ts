import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { noopLog } from '../ports/index.js';
import { RolloutPhase } from './rollout-hints.js';
import { RolloutRegistry } from './rollout-registry.js';

const ORDER = {
  revision: 20,
  group: 'ledger',
  toVersion: 'v2',
  durationMs: 9e3,
};

function createRegistry(): RolloutRegistry {
  const bounds = { exposureShare: 0.1, exposureSlack: 50 };
  return new RolloutRegistry({
    nowMs: () => 0,
    log: noopLog,
    optionsFor: () => ({ ...bounds, daemons: () => 2, routes: () => [] }),
  });
}

describe('RolloutRegistry', () => {
  it('does not apply the outcome of an earlier order to a version that is ordered again', () => {
    for (const [revision, expected] of [
      [19, RolloutPhase.Canary],
      [21, RolloutPhase.RolledBack],
    ] as const) {
      const registry = createRegistry();
      registry.applyOrder(ORDER);
      const { group, toVersion } = ORDER;
      registry.applyOutcome({
        revision,
        group,
        toVersion,
        hasSucceeded: false,
      });
      assert.equal(registry.rollouts()[0]?.phase, expected);
    }
  });
});
