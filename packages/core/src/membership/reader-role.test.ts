import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { DaemonIdentity } from '../ports/index.js';
import { ReaderRole } from './reader-role.js';

function daemons(count: number, dataCentres: number): DaemonIdentity[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `d${index}`,
    dataCentre: `dc${index % dataCentres}`,
    peerAddress: '',
    callerUrl: '',
  }));
}

function roleOf(
  self: DaemonIdentity,
  live: readonly DaemonIdentity[],
): ReaderRole {
  return new ReaderRole({
    self,
    nowMs: () => 0,
    livePeers: () => live.filter(peer => peer !== self),
  });
}

function readersAmong(live: readonly DaemonIdentity[]): DaemonIdentity[] {
  return live.filter(self => roleOf(self, live).isReader());
}

describe('ReaderRole', () => {
  it('names a reader in each data centre and two in all, whatever the number of daemons', () => {
    for (const count of [9, 64, 195, 300]) {
      const readers = readersAmong(daemons(count, 6));
      const dataCentres = new Set(readers.map(each => each.dataCentre));
      assert.equal(dataCentres.size, 6);
      assert.ok(readers.length <= 8);
    }
    assert.equal(readersAmong(daemons(9, 1)).length, 2);
    assert.equal(readersAmong(daemons(1, 1)).length, 1);
  });

  // With five pollers beside each other, lists were read up to three times as often as they have to be.
  it('names two readers that poll, whatever the number of data centres', () => {
    for (const dataCentres of [1, 4, 16]) {
      const live = daemons(64, dataCentres);
      const first = live.filter(self => roleOf(self, live).isFirstReader());
      assert.equal(first.length, 2);
      assert.ok(first.every(self => roleOf(self, live).isReader()));
    }
  });

  it('names another reader at once where one is no longer live', () => {
    const live = daemons(60, 4);
    const readers = readersAmong(live);
    const left = live.filter(each => !readers.includes(each));
    const next = readersAmong(left);
    assert.equal(new Set(next.map(each => each.dataCentre)).size, 4);
  });
});
