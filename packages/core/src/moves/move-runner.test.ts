import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  Fault,
  FaultyKeyValue,
  MemoryKeyValue,
  MemoryPeers,
} from '../fakes/index.js';
import type { DaemonIdentity } from '../ports/index.js';
import { ManualClock, noopLog, noopMetrics } from '../ports/index.js';
import type { MoveSpec } from './move.js';
import { MoveState, RollbackReason } from './move.js';
import { MoveLineError, parseMoveLine } from './move-line.js';
import { MoveRegistry } from './move-registry.js';
import { MoveRunner } from './move-runner.js';
import { MoveStarter, StartMoveOutcome } from './move-starter.js';
import { registerMovePeerHandlers } from './peer-handlers.js';

const TIMEOUT_MS = 1_000;
const SPEC: MoveSpec = {
  moveId: 'move-1',
  group: 'model',
  fromVersion: 'v1',
  toVersion: 'v2',
  kinds: ['lookup'],
  cautiousKinds: [],
  startedAtMs: 0,
  deadlineAtMs: 120_000,
  reason: 'operations, newer weights',
};

interface Member {
  readonly board: MoveRegistry;
  readonly runner: MoveRunner;
}

/** Three daemons with in-memory peer calls and a key-value service that can fail. */
class Cluster {
  readonly clock = new ManualClock();
  readonly store = new MemoryKeyValue(this.clock);
  fault = Fault.None;
  readonly keyValue = new FaultyKeyValue(
    this.store,
    this.clock,
    () => this.fault,
  );
  readonly peers = new MemoryPeers(this.clock);
  readonly identities: DaemonIdentity[] = ['a', 'b', 'c'].map(id => ({
    id,
    dataCentre: 'north-1',
    peerAddress: id,
    callerUrl: `http://${id}`,
  }));
  readonly members: Member[] = this.identities.map(self => this.add(self));
  readonly starter = new MoveStarter(this.keyValue, this.clock);

  add(self: DaemonIdentity): Member {
    const board = new MoveRegistry(self.id);
    const registry = this.peers.registry(self.peerAddress);
    registerMovePeerHandlers(registry, board, this.clock);
    const runner = new MoveRunner({
      self,
      board,
      keyValue: this.keyValue,
      peer: this.peers.peer(self.peerAddress),
      clock: this.clock,
      log: noopLog,
      metrics: noopMetrics,
      liveDaemons: () => this.identities,
    });
    return { board, runner };
  }

  start(spec: MoveSpec = SPEC) {
    const deadlineAtMs = this.clock.nowMs() + TIMEOUT_MS;
    return this.starter.start(spec, new Map(), deadlineAtMs);
  }

  /** Runs all daemons for some seconds; each serves requests and runs one round per second. */
  async run(seconds: number, doesNewVersionFail: boolean): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      await this.clock.advanceTo(this.clock.nowMs() + 1_000);
      for (const { board, runner } of this.members) {
        await runner.readRecords().catch(() => undefined);
        recordRequests(board, doesNewVersionFail);
        await runner.step();
      }
    }
  }

  shares(): number[] {
    const nowMs = this.clock.nowMs();
    return this.members.map(
      ({ board }) => board.find('model')?.share('lookup', nowMs) ?? 0,
    );
  }

  states(): (MoveState | undefined)[] {
    return this.members.map(({ board }) => board.find('model')?.record.state);
  }
}

function recordRequests(
  board: MoveRegistry,
  doesNewVersionFail: boolean,
): void {
  for (let request = 0; request < 30; request += 1) {
    const isNewVersion = request < 6;
    board.recordResult({
      group: 'model',
      kind: 'lookup',
      version: isNewVersion ? 'v2' : 'v1',
      failed: isNewVersion && doesNewVersionFail,
      firstTokenMs: 100,
    });
  }
}

describe('MoveRunner', () => {
  it('completes a move without regressions on every daemon', async () => {
    const cluster = new Cluster();
    await cluster.start();
    await cluster.run(110, false);
    assert.deepEqual(cluster.states(), Array(3).fill(MoveState.Done));
  });

  it('rolls a failing version back on every daemon while the key-value service is down', async () => {
    const cluster = new Cluster();
    await cluster.start();
    await cluster.run(12, false);
    assert.ok(cluster.shares().every(share => share > 0));
    cluster.fault = Fault.Down;
    await cluster.run(10, true);
    assert.deepEqual(cluster.shares(), [0, 0, 0]);
    assert.deepEqual(cluster.states(), Array(3).fill(MoveState.Running));
    cluster.fault = Fault.None;
    await cluster.run(6, true);
    assert.deepEqual(cluster.states(), Array(3).fill(MoveState.RolledBack));
  });

  it('keeps a rollback decision across a restart of the daemon that made it', async () => {
    const cluster = new Cluster();
    await cluster.start();
    await cluster.run(12, false);
    cluster.fault = Fault.Down;
    const [first] = cluster.identities;
    assert.ok(first);
    cluster.members[0]?.board.find('model')?.stop(cluster.clock.nowMs());
    await cluster.run(1, false);
    const restarted = cluster.add(first);
    await restarted.runner.fetchRollbacks();
    assert.equal(
      restarted.board.rollbackDecisions()[0]?.reason,
      RollbackReason.Operator,
    );
  });

  it('rejects a second move of the group and starts a repeated one once', async () => {
    const cluster = new Cluster();
    cluster.fault = Fault.None;
    const first = await cluster.start();
    assert.equal(first.outcome, StartMoveOutcome.Started);
    assert.equal(first.warnings.length, 1);
    const repeat = await cluster.start();
    assert.equal(repeat.outcome, StartMoveOutcome.Started);
    const second = await cluster.start({ ...SPEC, moveId: 'move-2' });
    assert.equal(second.outcome, StartMoveOutcome.GroupBusy);
    const other = await cluster.start({
      ...SPEC,
      moveId: 'move-3',
      group: 'other',
    });
    assert.equal(other.outcome, StartMoveOutcome.Started);
    assert.equal((await cluster.store.get('moves/model'))?.version, 1);
  });

  it('starts no move while the key-value service is down', async () => {
    const cluster = new Cluster();
    cluster.fault = Fault.Down;
    const result = await cluster.start();
    assert.equal(result.outcome, StartMoveOutcome.Unavailable);
  });
});

describe('parseMoveLine', () => {
  it('parses a line and names missing fields', () => {
    const line =
      'group=model from=v1 to=v2 kinds=lookup,posting deadline=2030-01-31T09:30:00Z # operations, newer weights';
    const request = parseMoveLine(line);
    assert.deepEqual(request.kinds, ['lookup', 'posting']);
    assert.equal(request.reason, 'operations, newer weights');
    const withoutReason = line.split(' #')[0] ?? '';
    assert.throws(() => parseMoveLine(withoutReason), MoveLineError);
    assert.throws(
      () => parseMoveLine('group=model to=v2 # operations, why'),
      /Field from is wrong/,
    );
  });
});
