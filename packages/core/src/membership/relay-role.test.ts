import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { DaemonIdentity } from '../ports/index.js';
import { RelayRole, RELAYS_PER_DATA_CENTRE } from './relay-role.js';
import { rankDaemons } from './rendezvous.js';
import { SpreadTree } from './spread-tree.js';

const DAEMONS: readonly DaemonIdentity[] = Array.from(
  { length: 40 },
  (_, index) => ({
    id: `daemon-${index}`,
    dataCentre: 'dc-0',
    peerAddress: `10.0.0.1:${index}`,
    callerUrl: '',
  }),
);

function roleOf(self: DaemonIdentity): RelayRole {
  const role = new RelayRole(self);
  role.setCandidates(
    DAEMONS.filter(each => each.id !== self.id),
    true,
  );
  return role;
}

function standby(place = 0): DaemonIdentity {
  const ranked = rankDaemons('relay/dc-0', DAEMONS);
  const found = ranked[RELAYS_PER_DATA_CENTRE + place];
  assert.ok(found);
  return found;
}

describe('RelayRole', () => {
  it('names the same few relays in every daemon', () => {
    const acting = DAEMONS.filter(each => roleOf(each).isActing());
    assert.equal(acting.length, RELAYS_PER_DATA_CENTRE);
  });

  it('lets a standby act within two seconds of a relay going silent', () => {
    const role = roleOf(standby());
    let failedAtMs = 0;
    for (let nowMs = 0; nowMs <= 2_000 && !role.isActing(); nowMs += 250) {
      const lost = role.tick(nowMs)[0];
      failedAtMs = nowMs + 400;
      if (lost !== undefined) role.failed(lost.target.id, failedAtMs);
    }
    assert.equal(role.isActing(), true);
    assert.ok(failedAtMs <= 2_000);
  });

  it('lets the second standby act within three seconds of both relays going silent, for half of the heartbeats', () => {
    const sentIn = (role: RelayRole) =>
      Array.from(
        { length: 40 },
        (_, step) => role.tick(step * 250).length,
      ).reduce((sum, count) => sum + count, 0);
    assert.equal(sentIn(roleOf(standby(1))) * 2, sentIn(roleOf(standby(0))));
    const role = roleOf(standby(1));
    let failedAtMs = 0;
    for (let nowMs = 0; nowMs <= 3_000 && !role.isActing(); nowMs += 250) {
      failedAtMs = nowMs + 400;
      for (const { target } of role.tick(nowMs)) {
        role.failed(target.id, failedAtMs);
      }
    }
    assert.equal(role.isActing(), true);
    assert.ok(failedAtMs <= 3_000);
  });

  it('lets the standby rest again once the relay answers', () => {
    const role = roleOf(standby());
    const relay = role.tick(0)[0]?.target;
    assert.ok(relay);
    role.failed(relay.id, 400);
    assert.equal(role.isActing(), false);
    role.failed(relay.id, 900);
    assert.equal(role.isActing(), true);
    role.answered(relay.id);
    assert.equal(role.isActing(), false);
  });
});

describe('SpreadTree', () => {
  it('reaches every member of the cell once from any daemon', () => {
    for (const origin of DAEMONS) {
      const reached = new Map<string, number>();
      const treeOf = (self: DaemonIdentity) =>
        new SpreadTree(
          self,
          DAEMONS.filter(each => each.id !== self.id),
        );
      const visit = (daemon: DaemonIdentity) => {
        reached.set(daemon.id, (reached.get(daemon.id) ?? 0) + 1);
        if (daemon.id === origin.id) return;
        for (const { child } of treeOf(daemon).ownBranches()) visit(child);
      };
      for (const { child } of treeOf(origin).rootBranches()) visit(child);
      const others = DAEMONS.filter(each => each.id !== origin.id);
      const missed = others.filter(each => reached.get(each.id) !== 1);
      assert.deepEqual(
        missed.map(each => each.id),
        [],
      );
    }
  });
});
