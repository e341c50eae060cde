import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { DaemonHints } from './daemon-hints.js';
import { HintStore } from './hint-store.js';

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

describe('HintStore', () => {
  // A read by a peer that holds newer evacuations, or does not know them, would keep a daemon from reading its own.
  it('confirms evacuations only by peers that hold no newer ones than this daemon', () => {
    const store = new HintStore();
    const read = { operatorReadAgeMs: 100, configurationVersion: 1 };
    store.add(hints('old build', 1, read), 1_000, 1_000);
    assert.equal(store.evacuationReadAtMs(7), -Infinity);
    const newer = { ...read, evacuationsVersion: 8 };
    store.add(hints('newer', 1, newer), 1_000, 1_000);
    assert.equal(store.evacuationReadAtMs(7), -Infinity);
    assert.equal(store.evacuationReadAtMs(8), 900);
    const known = { ...read, evacuationsVersion: 7 };
    store.add(hints('known', 1, known), 800, 800);
    assert.equal(store.evacuationReadAtMs(7), 700);
    assert.equal(store.operatorReadAtMs(1), 900);
  });

  // A read by a peer that holds a newer order confirmed the state of a daemon that lacks the order.
  it('confirms rollout orders only by peers that state theirs and hold no newer one', () => {
    const store = new HintStore();
    const read = { operatorReadAgeMs: 100, configurationVersion: 1 };
    store.add(hints('old build', 1, read), 1_000, 1_000);
    assert.equal(store.orderReadAtMs(7), -Infinity);
    const newer = { ...read, ordersRevision: 8 };
    store.add(hints('newer', 1, newer), 1_000, 1_000);
    assert.equal(store.orderReadAtMs(7), -Infinity);
    assert.equal(store.orderReadAtMs(8), 900);
  });

  // Daemons of an earlier build refused the calls, which an operator takes for a reason to roll back.
  it('knows a daemon that can be told usage counts by the hints of its last lifetime', () => {
    const store = new HintStore();
    const able = { takesUsageCounts: true, collectsUsage: true };
    store.add(hints('a', 1, able), 1_000);
    assert.equal(store.takesUsageCounts('a'), true);
    assert.equal(store.collectsUsage('a'), true);
    store.add(hints('a', 1, { lifetime: 'a/2' }), 2_000);
    assert.equal(store.takesUsageCounts('a'), false);
    assert.equal(store.takesUsageCounts('b'), false);
    assert.equal(store.collectsUsage('a'), false);
    assert.equal(store.collectsUsage('b'), undefined);
  });

  it('keeps the latest hints of each lifetime, whatever the order and number of messages', () => {
    const message = fc.record({ daemon: fc.nat(3), sequence: fc.nat(20) });
    fc.assert(
      fc.property(fc.array(message), messages => {
        const store = new HintStore();
        const latestSequences = new Map<string, number>();
        for (const { daemon, sequence } of messages) {
          const id = `d${daemon}`;
          const isNewer = sequence > (latestSequences.get(id) ?? -1);
          const work = { e1: { running: sequence, backlogTokens: 0 } };
          assert.equal(store.add(hints(id, sequence, { work }), 0), isNewer);
          if (isNewer) latestSequences.set(id, sequence);
        }
        const expected = [...latestSequences.values()].reduce(
          (a, b) => a + b,
          0,
        );
        assert.equal(store.work(0).get('e1')?.running ?? 0, expected);
      }),
      { seed: SEED },
    );
  });

  it('ignores the work and the held duties of a daemon without fresh hints', () => {
    const store = new HintStore();
    const work = { e1: { running: 3, backlogTokens: 10 } };
    store.add(hints('a', 1, { work, holdsDuties: true }), 0);
    assert.equal(store.hasHolder(2_000), true);
    assert.equal(store.hasHolder(3_000), false);
    assert.equal(store.work(3_000).size, 0);
    assert.equal(store.silentForMs('a', 3_000), 3_000);
  });

  it('sums the work of the fresh hints whatever came before', () => {
    const message = fc.record({
      daemon: fc.nat(3),
      endpoint: fc.nat(2),
      running: fc.nat(5),
      afterMs: fc.nat(1_500),
    });
    fc.assert(
      fc.property(fc.array(message, { maxLength: 40 }), messages => {
        const store = new HintStore();
        const latest = new Map<string, { atMs: number; running: number }>();
        let nowMs = 0;
        for (const [sequence, each] of messages.entries()) {
          nowMs += each.afterMs;
          const id = `d${each.daemon}`;
          const load = { running: each.running, backlogTokens: 0 };
          const work = { [`e${each.endpoint}`]: load };
          store.add(hints(id, sequence, { work }), nowMs);
          latest.set(id, { atMs: nowMs, running: each.running });
          const fresh = [...latest.values()].filter(
            ({ atMs }) => nowMs - atMs < 3_000,
          );
          const expected = fresh.reduce((sum, last) => sum + last.running, 0);
          const sums = [...store.work(nowMs).values()];
          const actual = sums.reduce((sum, { running }) => sum + running, 0);
          assert.equal(actual, expected);
        }
      }),
      { seed: SEED },
    );
  });

  it('counts a peer’s read of the endpoints only if its list is no newer', () => {
    const store = new HintStore();
    store.add(hints('a', 1, { endpointReadAgeMs: 100 }), 1_000, 1_000);
    const newer = { endpointReadAgeMs: 10, endpointsVersion: 5 };
    store.add(hints('b', 1, newer), 1_000, 1_000);
    assert.equal(store.endpointReadAtMs(1), 900);
    assert.equal(store.endpointReadAtMs(5), 990);
    assert.equal(store.endpointReadAtMs(1), 900);
  });

  it('takes account of each read and of each daemon that is forgotten, though it remembers its last result', () => {
    const store = new HintStore();
    store.add(hints('a', 1, { endpointReadAgeMs: 100 }), 1_000, 1_000);
    store.add(hints('b', 1, { endpointReadAgeMs: 50 }), 1_000, 1_000);
    assert.equal(store.endpointReadAtMs(1), 950);
    const later = { endpointReadAgeMs: 50, endpointsVersion: 5 };
    store.add(hints('b', 2, later), 1_100, 1_100);
    assert.equal(store.endpointReadAtMs(1), 900);
    store.add(hints('c', 1, {}), 60_000);
    assert.equal(store.endpointReadAtMs(1), -Infinity);
  });

  it('does not take a read in hints that were delayed in transit for a recent one', () => {
    const store = new HintStore();
    const read = { endpointReadAgeMs: 100 };
    // Pushed by the peer at an unknown time.
    store.add(hints('a', 1, read), 5_000);
    assert.equal(store.endpointReadAtMs(1), -Infinity);
    // Answer to a call that was sent at 4,700.
    store.add(hints('a', 2, read), 5_000, 4_700);
    assert.equal(store.endpointReadAtMs(1), 4_600);
    store.add(hints('a', 3, read), 9_000);
    assert.equal(store.endpointReadAtMs(1), 4_600);
  });
});
