import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { EvidenceReport } from './evidence.js';
import type { MoveRecord, MoveSpec } from './move.js';
import { MoveState, startRecord, TakeBackReason } from './move.js';
import type { MoveAction } from './move-action.js';
import { MoveActionKind } from './move-action.js';
import { MoveController } from './move-controller.js';

const SEED = 31;
const START_MS = 10_000;
const DEADLINE_MS = 310_000;
const DAEMONS = ['a', 'b', 'c'];

const SPEC: MoveSpec = {
  moveId: 'move-1',
  group: 'model',
  fromVersion: 'v1',
  toVersion: 'v2',
  kinds: ['lookup', 'posting'],
  cautiousKinds: ['posting'],
  startedAtMs: START_MS,
  deadlineAtMs: DEADLINE_MS,
  reason: 'operations, newer weights',
};

function reportOf(
  daemonId: string,
  reportedAtMs: number,
  newEvents: number,
): EvidenceReport {
  const block = { newCount: 10, newEvents, oldCount: 30, oldEvents: 0 };
  const quiet = { ...block, newEvents: 0 };
  return {
    moveId: SPEC.moveId,
    group: SPEC.group,
    daemonId,
    sequence: reportedAtMs,
    reportedAtMs,
    kinds: [
      {
        kind: 'lookup',
        failure: block,
        slowFirstToken: quiet,
        slowTokens: quiet,
      },
    ],
  };
}

function writes(actions: readonly MoveAction[]): MoveRecord[] {
  return actions.flatMap(action =>
    action.kind === MoveActionKind.WriteRecord ? [action.record] : [],
  );
}

/** One controller with a stored record that its writes go to. */
class Bench {
  stored = { record: startRecord(SPEC), version: 1 };
  readonly controller = new MoveController(
    'a',
    this.stored.record,
    this.stored.version,
    START_MS,
  );

  /** Advances a second with reports of all daemons; returns the actions. */
  second(
    nowMs: number,
    newEvents: number,
    holdsLease: boolean,
    reporting: readonly string[] = DAEMONS,
  ): readonly MoveAction[] {
    for (const daemon of reporting) {
      this.controller.onReport(reportOf(daemon, nowMs, newEvents));
    }
    this.controller.onContact(nowMs);
    return this.controller.tick(nowMs, {
      holdsLease,
      coordinates: true,
      liveDaemonIds: DAEMONS,
    });
  }

  /** Writes by compare-and-swap, and reads back where the answer arrives. */
  store(actions: readonly MoveAction[], answerArrives = true): void {
    for (const action of actions) {
      if (action.kind !== MoveActionKind.WriteRecord) continue;
      if (action.expectedVersion === this.stored.version) {
        const version = this.stored.version + 1;
        this.stored = { record: action.record, version };
      }
    }
    if (!answerArrives) return;
    this.controller.onRecord(this.stored.record, this.stored.version);
  }
}

describe('MoveController', () => {
  it('goes forward to the end on clean evidence and reports it once', () => {
    const bench = new Bench();
    const endings: MoveAction[] = [];
    for (let nowMs = START_MS; nowMs < DEADLINE_MS; nowMs += 1_000) {
      const actions = bench.second(nowMs, 0, true);
      bench.store(actions);
      endings.push(
        ...actions.filter(each => each.kind === MoveActionKind.ReportEnding),
      );
    }
    assert.equal(bench.stored.record.state, MoveState.Done);
    assert.equal(endings.length, 1);
    assert.equal(bench.controller.share('lookup', DEADLINE_MS), 1);
    assert.deepEqual(bench.stored.record.ending?.unprovedKinds, ['posting']);
  });

  it('takes back at once, without the lease, what fails', () => {
    const bench = new Bench();
    let nowMs = START_MS;
    while (bench.controller.brake === undefined && nowMs < DEADLINE_MS) {
      nowMs += 1_000;
      bench.second(nowMs, 8, false);
    }
    assert.equal(bench.controller.brake?.reason, TakeBackReason.Evidence);
    assert.equal(bench.controller.brake.finding?.kind, 'lookup');
    assert.ok(nowMs - START_MS <= 10_000);
    assert.equal(bench.controller.share('lookup', nowMs), 0);
  });

  it('does not go forward while a live daemon is silent', () => {
    const bench = new Bench();
    for (let nowMs = START_MS; nowMs < START_MS + 60_000; nowMs += 1_000) {
      const actions = bench.second(nowMs, 0, true, ['a', 'b']);
      assert.deepEqual(writes(actions), []);
    }
  });

  it('uses the old version while it hears of no one', () => {
    const bench = new Bench();
    for (let nowMs = START_MS; nowMs < START_MS + 30_000; nowMs += 1_000) {
      bench.store(bench.second(nowMs, 0, true));
    }
    const lastMs = START_MS + 29_000;
    assert.ok(bench.controller.share('lookup', lastMs) > 0);
    assert.equal(bench.controller.share('lookup', lastMs + 5_000), 0);
  });

  it('holds the old version past the deadline while no end can be written', () => {
    const bench = new Bench();
    for (let nowMs = START_MS; nowMs <= DEADLINE_MS; nowMs += 1_000) {
      bench.second(nowMs, 0, nowMs < START_MS + 100_000);
    }
    assert.equal(bench.controller.brake?.reason, TakeBackReason.Deadline);
    assert.equal(bench.controller.share('lookup', DEADLINE_MS), 0);
    bench.store(bench.second(DEADLINE_MS + 60_000, 0, false));
    assert.equal(bench.stored.record.state, MoveState.TakenBack);
  });

  it('never goes forward after a brake or without the lease, in any order of events', () => {
    const event = fc.record({
      holdsLease: fc.boolean(),
      answerArrives: fc.boolean(),
      keyValueUp: fc.boolean(),
      braked: fc.integer({ min: 0, max: 12 }).map(value => value === 0),
      silent: fc.boolean(),
      stepMs: fc.integer({ min: 500, max: 9_000 }),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 60 }), events => {
        const bench = new Bench();
        let nowMs = START_MS;
        let braked = false;
        const endings = new Set<string>();
        for (const each of events) {
          nowMs += each.stepMs;
          if (each.braked) {
            braked = true;
            bench.controller.stop(nowMs);
          }
          const reporting = each.silent ? ['a'] : DAEMONS;
          const before = bench.controller.record;
          const actions = bench.second(nowMs, 0, each.holdsLease, reporting);
          for (const written of writes(actions)) {
            const isForward =
              written.state === MoveState.Done ||
              written.progress.some(
                (kind, index) =>
                  kind.share > (before.progress[index]?.share ?? 0),
              );
            if (isForward) assert.ok(each.holdsLease && !braked);
            if (isForward) assert.ok(nowMs < DEADLINE_MS);
          }
          for (const action of actions) {
            if (action.kind === MoveActionKind.ReportEnding) {
              endings.add(action.ending.state);
              assert.equal(action.ending, bench.stored.record.ending);
            }
          }
          if (each.keyValueUp) bench.store(actions, each.answerArrives);
          const isOpen = bench.controller.record.state === MoveState.Running;
          if ((braked || nowMs >= DEADLINE_MS) && isOpen) {
            assert.equal(bench.controller.share('lookup', nowMs), 0);
          }
        }
        assert.ok(endings.size <= 1);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});
