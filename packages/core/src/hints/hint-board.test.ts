import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { DaemonHints } from './daemon-hints.js';
import { HintBoard } from './hint-board.js';

const SEED = 20_261_204;

function hints(
  daemonId: string,
  sequence: number,
  changes: Partial<DaemonHints> = {},
): DaemonHints {
  return {
    daemonId,
    lifetime: `${daemonId}/1`,
    sequence,
    ageMs: 0,
    wallMs: 0,
    work: {},
    grantedTokens: {},
    usage: [],
    endpointsVersion: 1,
    rollouts: [],
    holdsDuties: false,
    ...changes,
  };
}

describe('HintBoard', () => {
  it('holds the newest hints of each lifetime, whatever the order and number of messages', () => {
    const message = fc.record({ daemon: fc.nat(3), sequence: fc.nat(20) });
    fc.assert(
      fc.property(fc.array(message), messages => {
        const board = new HintBoard();
        const newest = new Map<string, number>();
        for (const { daemon, sequence } of messages) {
          const id = `d${daemon}`;
          const isNewer = sequence > (newest.get(id) ?? -1);
          const work = { e1: { running: sequence, backlogTokens: 0 } };
          assert.equal(board.take(hints(id, sequence, { work }), 0), isNewer);
          if (isNewer) newest.set(id, sequence);
        }
        const expected = [...newest.values()].reduce((a, b) => a + b, 0);
        assert.equal(board.work(0).get('e1')?.running ?? 0, expected);
      }),
      { seed: SEED },
    );
  });

  it('no longer counts the work and the claims of a silent daemon', () => {
    const board = new HintBoard();
    const work = { e1: { running: 3, backlogTokens: 10 } };
    board.take(hints('a', 1, { work, holdsDuties: true }), 0);
    assert.equal(board.hasHolder(2_000), true);
    assert.equal(board.hasHolder(3_000), false);
    assert.equal(board.work(3_000).size, 0);
    assert.equal(board.silentForMs('a', 3_000), 3_000);
  });

  it('takes a read of the endpoints for its own only from daemons with no newer list', () => {
    const board = new HintBoard();
    board.take(hints('a', 1, { endpointReadAgeMs: 100 }), 1_000);
    const newer = { endpointReadAgeMs: 10, endpointsVersion: 5 };
    board.take(hints('b', 1, newer), 1_000);
    assert.equal(board.endpointReadAtMs(1, 1_000), 900);
    assert.equal(board.endpointReadAtMs(5, 1_000), 990);
  });
});
