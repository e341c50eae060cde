import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { DaemonIdentity } from '../ports/index.js';
import { BroadcastTree } from './broadcast-tree.js';
import { RelayRole, RELAYS_PER_DATA_CENTRE } from './relay-role.js';
import { rankDaemons } from './rendezvous.js';

const DAEMONS: readonly DaemonIdentity[] = Array.from(
  { length: 40 },
  (_, index) => ({
    id: `daemon-${index}`,
    dataCentre: 'dc-0',
    peerAddress: `10.0.0.1:${index}`,
    callerUrl: '',
  }),
);

function createRole(self: DaemonIdentity): RelayRole {
  const role = new RelayRole(self);
  role.setCandidates(
    DAEMONS.filter(daemon => daemon.id !== self.id),
    true,
  );
  return role;
}

function standby(index = 0): DaemonIdentity {
  const ranked = rankDaemons('relay/dc-0', DAEMONS);
  const daemon = ranked[RELAYS_PER_DATA_CENTRE + index];
  assert.ok(daemon);
  return daemon;
}

describe('RelayRole', () => {
  it('selects the same relays on every daemon', () => {
    const acting = DAEMONS.filter(daemon => createRole(daemon).isActing());
    assert.equal(acting.length, RELAYS_PER_DATA_CENTRE);
  });

  it('activates a standby within two seconds after a relay stops answering', () => {
    const role = createRole(standby());
    let failedAtMs = 0;
    for (let nowMs = 0; nowMs <= 2_000 && !role.isActing(); nowMs += 250) {
      const heartbeat = role.tick(nowMs)[0];
      failedAtMs = nowMs + 400;
      if (heartbeat !== undefined)
        role.recordHeartbeatFailure(heartbeat.target.id, failedAtMs);
    }
    assert.equal(role.isActing(), true);
    assert.ok(failedAtMs <= 2_000);
  });

  it('activates the second standby within three seconds after both relays stop answering, at half the heartbeat rate', () => {
    const countHeartbeats = (role: RelayRole) =>
      Array.from(
        { length: 40 },
        (_, step) => role.tick(step * 250).length,
      ).reduce((sum, count) => sum + count, 0);
    assert.equal(
      countHeartbeats(createRole(standby(1))) * 2,
      countHeartbeats(createRole(standby(0))),
    );
    const role = createRole(standby(1));
    let failedAtMs = 0;
    for (let nowMs = 0; nowMs <= 3_000 && !role.isActing(); nowMs += 250) {
      failedAtMs = nowMs + 400;
      for (const { target } of role.tick(nowMs)) {
        role.recordHeartbeatFailure(target.id, failedAtMs);
      }
    }
    assert.equal(role.isActing(), true);
    assert.ok(failedAtMs <= 3_000);
  });

  it('deactivates the standby once the relay answers again', () => {
    const role = createRole(standby());
    const relay = role.tick(0)[0]?.target;
    assert.ok(relay);
    role.recordHeartbeatFailure(relay.id, 400);
    assert.equal(role.isActing(), false);
    role.recordHeartbeatFailure(relay.id, 900);
    assert.equal(role.isActing(), true);
    role.recordHeartbeatSuccess(relay.id);
    assert.equal(role.isActing(), false);
  });
});

describe('BroadcastTree', () => {
  it('delivers to every member of the cell exactly once from any origin', () => {
    for (const origin of DAEMONS) {
      const deliveries = new Map<string, number>();
      const treeOf = (self: DaemonIdentity) =>
        new BroadcastTree(
          self,
          DAEMONS.filter(daemon => daemon.id !== self.id),
        );
      const visit = (daemon: DaemonIdentity) => {
        deliveries.set(daemon.id, (deliveries.get(daemon.id) ?? 0) + 1);
        if (daemon.id === origin.id) return;
        for (const { child } of treeOf(daemon).childBranches()) visit(child);
      };
      for (const { child } of treeOf(origin).entryBranches()) visit(child);
      const others = DAEMONS.filter(daemon => daemon.id !== origin.id);
      const missed = others.filter(daemon => deliveries.get(daemon.id) !== 1);
      assert.deepEqual(
        missed.map(daemon => daemon.id),
        [],
      );
    }
  });
});
