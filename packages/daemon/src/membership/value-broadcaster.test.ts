import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  pushMethod,
  ReplicatedValueStore,
  SwimMembership,
} from '@skylarkreach/core/membership';
import type {
  DaemonIdentity,
  PeerClient,
  PeerMethod,
} from '@skylarkreach/core/ports';
import { ManualClock, SeededRandom } from '@skylarkreach/core/ports';

import { ValueBroadcaster } from './value-broadcaster.js';

const DAEMONS = 20;
const LARGE_VALUE = 'x'.repeat(100_000);

/** Broadcasters of one cell that reach one another in memory. */
class BroadcastHarness implements PeerClient {
  readonly clock = new ManualClock(1_000);
  readonly stores = new Map<string, ReplicatedValueStore>();
  readonly broadcasters = new Map<string, ValueBroadcaster>();
  /** Code units of values that were sent. */
  sentLength = 0;

  constructor() {
    const identities = Array.from({ length: DAEMONS }, (_, index) =>
      identityOf(`d${index}`),
    );
    for (const [index, identity] of identities.entries()) {
      const random = new SeededRandom(index);
      const swim = new SwimMembership(identity, random, this.clock.nowMs());
      for (const other of identities) {
        if (other.id === identity.id) continue;
        swim.handleMessage(other, 1, [], this.clock.nowMs());
      }
      const store = new ReplicatedValueStore();
      this.stores.set(identity.id, store);
      this.broadcasters.set(
        identity.id,
        new ValueBroadcaster(store, swim, this, this.clock, random),
      );
    }
  }

  async call<Params, Result>(
    address: string,
    method: PeerMethod<Params, Result>,
    params: Params,
  ): Promise<Result> {
    assert.equal(method.name, pushMethod.name);
    const message = pushMethod.params.parse(params);
    for (const { inserted } of message.patches) {
      this.sentLength += inserted.length;
    }
    const broadcaster = this.broadcasters.get(address);
    assert.ok(broadcaster);
    await this.clock.waitUntil(this.clock.nowMs() + 1);
    return method.result.parse(broadcaster.handlePush(message));
  }

  /** Lets some daemons read a value at the same moment; returns the daemons that hold it afterwards. */
  async read(ids: readonly string[], value: string): Promise<number> {
    for (const id of ids) {
      const shared = { key: 'configuration', version: 2, value };
      void this.broadcasters.get(id)?.publishShared(shared);
    }
    await this.clock.advanceTo(3_000);
    return [...this.stores.values()].filter(
      store => store.version('configuration') === 2,
    ).length;
  }
}

function identityOf(id: string): DaemonIdentity {
  return { id, dataCentre: 'north-1', peerAddress: id, callerUrl: '' };
}

describe('ValueBroadcaster', () => {
  it('does not send a large value to daemons that have read it by themselves', async () => {
    const harness = new BroadcastHarness();
    const ids = [...harness.stores.keys()];
    assert.equal(await harness.read(ids, LARGE_VALUE), DAEMONS);
    assert.equal(harness.sentLength, 0);
  });

  it('sends a value to every daemon that could not read it, through those that could', async () => {
    for (const readers of [1, 5, DAEMONS - 1]) {
      const harness = new BroadcastHarness();
      const ids = [...harness.stores.keys()].slice(0, readers);
      assert.equal(await harness.read(ids, LARGE_VALUE), DAEMONS);
      assert.ok(harness.sentLength >= (DAEMONS - readers) * LARGE_VALUE.length);
    }
  });

  it('broadcasts a small value without offers', async () => {
    const harness = new BroadcastHarness();
    assert.equal(await harness.read(['d3'], 'small'), DAEMONS);
  });
});
