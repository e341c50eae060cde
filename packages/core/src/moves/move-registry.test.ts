import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { MoveSpec, RollbackDecision } from './move.js';
import { createMoveRecord, moveKey, RollbackReason } from './move.js';
import { MoveRegistry } from './move-registry.js';
import { exchangeRollbacksMethod } from './peer-methods.js';

const SPEC: MoveSpec = {
  moveId: 'own',
  group: 'model',
  fromVersion: 'v1',
  toVersion: 'v2',
  kinds: ['chat'],
  cautiousKinds: [],
  startedAtMs: 0,
  deadlineAtMs: 600_000,
  reason: 'operations, newer weights',
};

function decisionFor(moveId: string, group: string): RollbackDecision {
  return {
    moveId,
    group,
    daemonId: 'd1',
    pulledAtMs: 1,
    reason: RollbackReason.Operator,
  };
}

describe('MoveRegistry', () => {
  it('tells no more rollback decisions than a message may contain, those of its own moves among them', () => {
    const registry = new MoveRegistry('d1');
    const value = JSON.stringify(createMoveRecord(SPEC));
    registry.applyEntry({ key: moveKey(SPEC.group), value, version: 1 }, 0);
    registry.applyRollback(decisionFor(SPEC.moveId, SPEC.group));
    for (let index = 0; index < 150; index += 1) {
      registry.applyRollback(decisionFor(`move-${index}`, `group-${index}`));
    }
    const brakes = [...registry.rollbackDecisions()];
    assert.ok(brakes.some(({ moveId }) => moveId === SPEC.moveId));
    assert.ok(exchangeRollbacksMethod.params.safeParse({ brakes }).success);
  });
});
