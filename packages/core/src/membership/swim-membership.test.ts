import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { DaemonIdentity } from '../ports/index.js';
import { SeededRandom } from '../ports/index.js';
import { MembershipActionKind } from './actions.js';
import { MAX_CELL_MEMBERS } from './cell-layout.js';
import { MemberTable } from './member-table.js';
import type { MemberUpdate } from './membership.js';
import { MemberState } from './membership.js';
import { MAX_UPDATES_PER_MESSAGE } from './messages.js';
import { SwimMembership } from './swim-membership.js';

const START_MS = 10_000;

function daemon(index: number, dataCentres = 1): DaemonIdentity {
  return {
    id: `daemon-${index}`,
    dataCentre: `dc-${index % dataCentres}`,
    peerAddress: `10.0.0.1:${index}`,
    callerUrl: '',
  };
}

/** Creates the membership of daemon 0, which has received a message from daemons 1 to `peers`. */
function createMembership(peers: number): SwimMembership {
  const swim = new SwimMembership(daemon(0), new SeededRandom(1), START_MS);
  for (let index = 1; index <= peers; index += 1) {
    swim.handleMessage(daemon(index), 1, [], START_MS);
  }
  return swim;
}

/** Ticks at a running process's interval, so that no pause is detected. */
function tickUntil(swim: SwimMembership, fromMs: number, toMs: number): void {
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += 250) swim.tick(nowMs);
}

describe('SwimMembership', () => {
  it('considers a listed daemon live only after a message from it', () => {
    const swim = createMembership(0);
    swim.applyListing([daemon(0), daemon(1)], START_MS);
    assert.deepEqual(swim.live(), []);
    swim.handleProbeAnswer(daemon(1), 1, [], START_MS);
    assert.deepEqual(swim.live(), [daemon(1)]);
  });

  it('probes indirectly before suspecting a member, and declares it dead only after the timeout', () => {
    const swim = createMembership(3);
    const action = swim.handleProbeFailure(daemon(1), START_MS);
    assert.equal(action?.kind, MembershipActionKind.IndirectProbe);
    assert.deepEqual(action.helpers.map(helper => helper.id).sort(), [
      'daemon-2',
      'daemon-3',
    ]);
    assert.equal(swim.stateOf('daemon-1'), MemberState.Alive);
    swim.suspect(daemon(1), START_MS);
    tickUntil(swim, START_MS, START_MS + 2_900);
    assert.equal(swim.stateOf('daemon-1'), MemberState.Suspect);
    tickUntil(swim, START_MS + 3_000, START_MS + 5_000);
    assert.equal(swim.stateOf('daemon-1'), MemberState.Dead);
    assert.equal(swim.live().length, 2);
  });

  it('notifies a suspect of the suspicion, and the suspect refutes it', () => {
    const observer = createMembership(3);
    const suspected = new SwimMembership(daemon(1), new SeededRandom(2), 1);
    observer.suspect(daemon(1), START_MS);
    const updates = observer.updatesFor('daemon-1');
    assert.equal(updates[0]?.state, MemberState.Suspect);
    suspected.handleMessage(daemon(0), 1, updates, START_MS);
    assert.equal(suspected.incarnation, 2);
    observer.handleProbeAnswer(daemon(1), suspected.incarnation, [], START_MS);
    assert.equal(observer.stateOf('daemon-1'), MemberState.Alive);
  });

  it('declares no member dead after a pause of its own process', () => {
    const swim = createMembership(3);
    swim.tick(START_MS);
    swim.suspect(daemon(1), START_MS);
    swim.tick(START_MS + 60_000);
    assert.equal(swim.stateOf('daemon-1'), MemberState.Suspect);
    assert.equal(swim.deathsDecided, 0);
  });

  it('removes a leaving daemon and ignores delayed updates about it', () => {
    const swim = createMembership(2);
    const leaving = new SwimMembership(daemon(1), new SeededRandom(2), 1);
    leaving.handleMessage(daemon(0), 1, [], START_MS);
    const { peers, update } = leaving.leave();
    assert.deepEqual(peers, [daemon(0)]);
    swim.handleMessage(daemon(1), 1, [update], START_MS);
    assert.equal(swim.stateOf('daemon-1'), MemberState.Left);
    swim.handleMessage(daemon(2), 1, [aliveUpdate(1, 1)], START_MS);
    assert.equal(swim.stateOf('daemon-1'), MemberState.Left);
    swim.handleMessage(daemon(1), 2, [], START_MS);
    assert.equal(swim.stateOf('daemon-1'), MemberState.Alive);
  });

  it('bounds the updates per message and the number of probe targets', () => {
    const swim = new SwimMembership(daemon(0), new SeededRandom(1), START_MS);
    const listed = Array.from({ length: 2_300 }, (_, index) =>
      daemon(index, 16),
    );
    swim.applyListing(listed, START_MS);
    const targets = swim.sampleProbeTargets(listed.length);
    assert.ok(targets.length <= MAX_CELL_MEMBERS + 50);
    const dataCentres = new Set(targets.map(target => target.dataCentre));
    assert.equal(dataCentres.size, 16);
    for (const target of targets) swim.handleMessage(target, 1, [], START_MS);
    assert.ok(swim.updatesFor('daemon-1').length <= MAX_UPDATES_PER_MESSAGE);
  });

  it('decides on no death of a suspect that it no longer tracks', () => {
    const swim = new SwimMembership(daemon(0), new SeededRandom(1), START_MS);
    const join = (from: number, to: number) => {
      for (let index = from; index < to; index += 1)
        swim.handleMessage(daemon(index, 2), 1, [], START_MS);
    };
    join(1, 40);
    for (let index = 1; index < 40; index += 2)
      swim.suspect(daemon(index, 2), START_MS);
    join(40, 140);
    swim.tick(START_MS);
    const tracked = new Set(swim.live().map(({ id }) => id));
    tickUntil(swim, START_MS, START_MS + 8_000);
    const decided = swim.deathsDecided;
    assert.ok(decided <= tracked.size);
    tickUntil(swim, START_MS + 8_250, START_MS + 12_000);
    assert.equal(swim.deathsDecided, decided);
  });

  it('tells a suspected receiver of other members too, each as often as any receiver', () => {
    const swim = createMembership(2);
    swim.suspect(daemon(1), START_MS);
    const updates = swim.updatesFor('daemon-1');
    assert.deepEqual(
      updates.map(({ id, state }) => [id, state]),
      [
        ['daemon-1', MemberState.Suspect],
        ['daemon-2', MemberState.Alive],
      ],
    );
  });
});

describe('MemberTable', () => {
  it('converges on the same state in whatever order updates arrive', () => {
    const update: fc.Arbitrary<MemberUpdate> = fc.record({
      id: fc.constant('daemon-1'),
      state: fc.constantFrom(
        MemberState.Alive,
        MemberState.Suspect,
        MemberState.Dead,
        MemberState.Left,
      ),
      incarnation: fc.integer({ min: 1, max: 4 }),
      identity: fc.constant(daemon(1)),
    });
    const orders = fc
      .array(update, { minLength: 1 })
      .chain(updates =>
        fc.tuple(
          fc.constant(updates),
          fc.shuffledSubarray(updates, { minLength: updates.length }),
        ),
      );
    fc.assert(
      fc.property(orders, ([first, second]) => {
        assert.deepEqual(stateAfter(first), stateAfter(second));
      }),
      { seed: 6, numRuns: 300 },
    );
  });
});

function stateAfter(updates: readonly MemberUpdate[]) {
  const table = new MemberTable('daemon-0');
  table.apply(aliveUpdate(1, 0), 0, 0);
  for (const update of updates) table.apply(update, 0, 0);
  const member = table.get('daemon-1');
  return { state: member?.state, incarnation: member?.incarnation };
}

function aliveUpdate(index: number, incarnation: number): MemberUpdate {
  const identity = daemon(index);
  return { id: identity.id, state: MemberState.Alive, incarnation, identity };
}
