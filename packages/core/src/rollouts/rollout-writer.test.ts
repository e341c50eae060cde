import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ManualClock, noopLog } from '../ports/index.js';
import { RolloutRegistry } from './rollout-registry.js';
import { RolloutWriter } from './rollout-writer.js';

describe('RolloutWriter', () => {
  it('keeps nothing of orders that were replaced by later ones', async () => {
    const clock = new ManualClock(0);
    const registry = new RolloutRegistry({
      nowMs: () => clock.nowMs(),
      log: noopLog,
      optionsFor: () => ({
        exposureShare: 0.1,
        exposureSlack: 50,
        daemons: () => 1,
        routes: () => [],
      }),
    });
    const writer = new RolloutWriter({
      clock,
      log: noopLog,
      registry,
      status: { write: () => Promise.resolve() },
      inFlightOnOtherVersions: () => 0,
    });
    const order = { group: 'ledger', toVersion: 'v2', durationMs: 9e3 };
    for (let revision = 1; revision <= 100; revision += 1) {
      registry.applyOrder({ ...order, revision });
      await writer.step(() => true);
    }
    assert.equal(writer.writtenCount, 1);
  });
});
