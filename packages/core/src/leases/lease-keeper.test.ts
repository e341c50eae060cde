import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Fault, FaultyKeyValue, MemoryKeyValue } from '../fakes/index.js';
import type { KeyValueStore } from '../ports/index.js';
import { ManualClock } from '../ports/index.js';
import { LeaseKeeper } from './lease-keeper.js';

const TTL_MS = 10_000;
const MARGIN_MS = 1_000;

function createKeeper(
  store: KeyValueStore,
  clock: ManualClock,
  holder: string,
) {
  return new LeaseKeeper(store, clock, {
    name: 'planner',
    holder,
    grantMs: TTL_MS,
    marginMs: MARGIN_MS,
  });
}

describe('LeaseKeeper', () => {
  it('stops using the lease before another process can acquire it', async () => {
    const clock = new ManualClock();
    const store = new MemoryKeyValue(clock);
    const first = createKeeper(store, clock, 'one');
    const second = createKeeper(store, clock, 'two');
    assert.equal(await first.renew(), true);
    await clock.advanceTo(TTL_MS - MARGIN_MS);
    assert.equal(first.current(), undefined);
    assert.equal(await second.renew(), false);
    await clock.advanceTo(TTL_MS);
    assert.equal(await second.renew(), true);
    assert.equal(second.current()?.fencingNumber, 2);
    assert.equal(await first.renew(), false);
    assert.equal(first.current(), undefined);
  });

  it('keeps its fencing number while it renews before the expiry', async () => {
    const clock = new ManualClock();
    const store = new MemoryKeyValue(clock);
    const first = createKeeper(store, clock, 'one');
    await first.renew();
    assert.equal(first.nextRenewalAtMs(), TTL_MS / 2);
    await clock.advanceTo(TTL_MS / 2);
    await first.renew();
    await clock.advanceTo(TTL_MS);
    assert.equal(first.current()?.fencingNumber, 1);
  });

  it('keeps a held lease until it expires while the key-value service is down', async () => {
    const clock = new ManualClock();
    let fault = Fault.None;
    const store = new FaultyKeyValue(
      new MemoryKeyValue(clock),
      clock,
      () => fault,
    );
    const first = createKeeper(store, clock, 'one');
    await first.renew();
    fault = Fault.Down;
    await clock.advanceTo(TTL_MS / 2);
    assert.equal(await first.renew(), false);
    assert.notEqual(first.current(), undefined);
    await clock.advanceTo(TTL_MS);
    assert.equal(first.current(), undefined);
  });

  it('lets another process acquire the lease at once after a release', async () => {
    const clock = new ManualClock();
    const store = new MemoryKeyValue(clock);
    const first = createKeeper(store, clock, 'one');
    await first.renew();
    await first.release();
    assert.equal(await createKeeper(store, clock, 'two').renew(), true);
  });
});
