import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { EvidenceReport } from './evidence.js';
import type { MoveRecord, MoveSpec } from './move.js';
import { createMoveRecord, MoveState, RollbackReason } from './move.js';
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
  const blockWithoutEvents = { ...block, newEvents: 0 };
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
        slowFirstToken: blockWithoutEvents,
        slowTokens: blockWithoutEvents,
      },
    ],
  };
}

function writtenRecords(actions: readonly MoveAction[]): MoveRecord[] {
  return actions.flatMap(action =>
    action.kind === MoveActionKind.WriteRecord ? [action.record] : [],
  );
}

/** Controller with a stored record to which its writes are applied. */
class MoveFixture {
  stored = { record: createMoveRecord(SPEC), version: 1 };
  readonly controller = new MoveController(
    'a',
    this.stored.record,
    this.stored.version,
    START_MS,
  );

  /** Applies one report per reporting daemon, ticks the controller and returns its actions. */
  advanceSecond(
    nowMs: number,
    newEvents: number,
    holdsLease: boolean,
    reporting: readonly string[] = DAEMONS,
  ): readonly MoveAction[] {
    for (const daemon of reporting) {
      this.controller.applyReport(reportOf(daemon, nowMs, newEvents));
    }
    this.controller.recordContact(nowMs);
    return this.controller.tick(nowMs, {
      holdsLease,
      coordinates: true,
      liveDaemonIds: DAEMONS,
    });
  }

  /** Executes the writes by compare-and-swap, and reads the record back if the response arrives. */
  store(actions: readonly MoveAction[], doesResponseArrive = true): void {
    for (const action of actions) {
      if (action.kind !== MoveActionKind.WriteRecord) continue;
      if (action.expectedVersion === this.stored.version) {
        const version = this.stored.version + 1;
        this.stored = { record: action.record, version };
      }
    }
    if (!doesResponseArrive) return;
    this.controller.applyRecord(this.stored.record, this.stored.version);
  }
}

describe('MoveController', () => {
  it('completes without regressions and reports the ending once', () => {
    const fixture = new MoveFixture();
    const endings: MoveAction[] = [];
    for (let nowMs = START_MS; nowMs < DEADLINE_MS; nowMs += 1_000) {
      const actions = fixture.advanceSecond(nowMs, 0, true);
      fixture.store(actions);
      endings.push(
        ...actions.filter(
          action => action.kind === MoveActionKind.ReportEnding,
        ),
      );
    }
    assert.equal(fixture.stored.record.state, MoveState.Done);
    assert.equal(endings.length, 1);
    assert.equal(fixture.controller.share('lookup', DEADLINE_MS), 1);
    assert.deepEqual(fixture.stored.record.ending?.unprovedKinds, ['posting']);
  });

  it('rolls a failing version back within 10 seconds, without the lease', () => {
    const fixture = new MoveFixture();
    let nowMs = START_MS;
    while (
      fixture.controller.rollbackDecision === undefined &&
      nowMs < DEADLINE_MS
    ) {
      nowMs += 1_000;
      fixture.advanceSecond(nowMs, 8, false);
    }
    assert.equal(
      fixture.controller.rollbackDecision?.reason,
      RollbackReason.Evidence,
    );
    assert.equal(fixture.controller.rollbackDecision.finding?.kind, 'lookup');
    assert.ok(nowMs - START_MS <= 10_000);
    assert.equal(fixture.controller.share('lookup', nowMs), 0);
  });

  it('does not grow shares while a live daemon sends no reports', () => {
    const fixture = new MoveFixture();
    for (let nowMs = START_MS; nowMs < START_MS + 60_000; nowMs += 1_000) {
      const actions = fixture.advanceSecond(nowMs, 0, true, ['a', 'b']);
      assert.deepEqual(writtenRecords(actions), []);
    }
  });

  it('uses the old version without recent contact to any peer or the key-value service', () => {
    const fixture = new MoveFixture();
    for (let nowMs = START_MS; nowMs < START_MS + 30_000; nowMs += 1_000) {
      fixture.store(fixture.advanceSecond(nowMs, 0, true));
    }
    const lastMs = START_MS + 29_000;
    assert.ok(fixture.controller.share('lookup', lastMs) > 0);
    assert.equal(fixture.controller.share('lookup', lastMs + 5_000), 0);
  });

  it('uses the old version after the deadline while no ending can be written', () => {
    const fixture = new MoveFixture();
    for (let nowMs = START_MS; nowMs <= DEADLINE_MS; nowMs += 1_000) {
      fixture.advanceSecond(nowMs, 0, nowMs < START_MS + 100_000);
    }
    assert.equal(
      fixture.controller.rollbackDecision?.reason,
      RollbackReason.Deadline,
    );
    assert.equal(fixture.controller.share('lookup', DEADLINE_MS), 0);
    fixture.store(fixture.advanceSecond(DEADLINE_MS + 60_000, 0, false));
    assert.equal(fixture.stored.record.state, MoveState.RolledBack);
  });

  it('never grows shares after a rollback decision or without the lease, in any order of events', () => {
    const event = fc.record({
      holdsLease: fc.boolean(),
      doesResponseArrive: fc.boolean(),
      isKeyValueUp: fc.boolean(),
      stopsMove: fc.integer({ min: 0, max: 12 }).map(value => value === 0),
      arePeersSilent: fc.boolean(),
      stepMs: fc.integer({ min: 500, max: 9_000 }),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 60 }), events => {
        const fixture = new MoveFixture();
        let nowMs = START_MS;
        let hasRollback = false;
        const endings = new Set<string>();
        for (const step of events) {
          nowMs += step.stepMs;
          if (step.stopsMove) {
            hasRollback = true;
            fixture.controller.stop(nowMs);
          }
          const reporting = step.arePeersSilent ? ['a'] : DAEMONS;
          const before = fixture.controller.record;
          const actions = fixture.advanceSecond(
            nowMs,
            0,
            step.holdsLease,
            reporting,
          );
          for (const written of writtenRecords(actions)) {
            const isAdvance =
              written.state === MoveState.Done ||
              written.progress.some(
                (kindProgress, index) =>
                  kindProgress.share > (before.progress[index]?.share ?? 0),
              );
            if (isAdvance) assert.ok(step.holdsLease && !hasRollback);
            if (isAdvance) assert.ok(nowMs < DEADLINE_MS);
          }
          for (const action of actions) {
            if (action.kind === MoveActionKind.ReportEnding) {
              endings.add(action.ending.state);
              assert.equal(action.ending, fixture.stored.record.ending);
            }
          }
          if (step.isKeyValueUp)
            fixture.store(actions, step.doesResponseArrive);
          const isRunning =
            fixture.controller.record.state === MoveState.Running;
          if ((hasRollback || nowMs >= DEADLINE_MS) && isRunning) {
            assert.equal(fixture.controller.share('lookup', nowMs), 0);
          }
        }
        assert.ok(endings.size <= 1);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});
