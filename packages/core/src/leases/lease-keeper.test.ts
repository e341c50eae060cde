import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Fault, FaultyKeyValue, MemoryKeyValue } from '../fakes/index.js';
import type { KeyValue } from '../ports/index.js';
import { ManualClock } from '../ports/index.js';
import { LeaseKeeper } from './lease-keeper.js';

const GRANT_MS = 10_000;
const MARGIN_MS = 1_000;

function keeper(store: KeyValue, clock: ManualClock, holder: string) {
  return new LeaseKeeper(store, clock, {
    name: 'planner',
    holder,
    grantMs: GRANT_MS,
    marginMs: MARGIN_MS,
  });
}

describe('LeaseKeeper', () => {
  it('ends the lease here before another can hold it', async () => {
    const clock = new ManualClock();
    const store = new MemoryKeyValue(clock);
    const first = keeper(store, clock, 'one');
    const second = keeper(store, clock, 'two');
    assert.equal(await first.renew(), true);
    await clock.advanceTo(GRANT_MS - MARGIN_MS);
    assert.equal(first.current(), undefined);
    assert.equal(await second.renew(), false);
    await clock.advanceTo(GRANT_MS);
    assert.equal(await second.renew(), true);
    assert.equal(second.current()?.fencingNumber, 2);
    assert.equal(await first.renew(), false);
    assert.equal(first.current(), undefined);
  });

  it('keeps its fencing number while it renews in time', async () => {
    const clock = new ManualClock();
    const store = new MemoryKeyValue(clock);
    const first = keeper(store, clock, 'one');
    await first.renew();
    assert.equal(first.nextRenewalAtMs(), GRANT_MS / 2);
    await clock.advanceTo(GRANT_MS / 2);
    await first.renew();
    await clock.advanceTo(GRANT_MS);
    assert.equal(first.current()?.fencingNumber, 1);
  });

  it('keeps a held lease to its end through an outage', async () => {
    const clock = new ManualClock();
    let fault = Fault.None;
    const store = new FaultyKeyValue(
      new MemoryKeyValue(clock),
      clock,
      () => fault,
    );
    const first = keeper(store, clock, 'one');
    await first.renew();
    fault = Fault.Down;
    await clock.advanceTo(GRANT_MS / 2);
    assert.equal(await first.renew(), false);
    assert.notEqual(first.current(), undefined);
    await clock.advanceTo(GRANT_MS);
    assert.equal(first.current(), undefined);
  });

  it('gives the lease back at once on release', async () => {
    const clock = new ManualClock();
    const store = new MemoryKeyValue(clock);
    const first = keeper(store, clock, 'one');
    await first.renew();
    await first.release();
    assert.equal(await keeper(store, clock, 'two').renew(), true);
  });
});
