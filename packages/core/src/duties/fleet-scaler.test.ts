import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { EndpointRecord } from '../forwarding/index.js';
import { ManualClock, RefusedError, silentLog } from '../ports/index.js';
import type { DutyCalls, DutyProof, ScalingOrder } from './duty-calls.js';
import { OrderOutcome } from './duty-calls.js';
import { reclaimableAt } from './fakes/index.js';
import { FleetScaler } from './fleet-scaler.js';

const PROOF: DutyProof = { holder: 'daemon-1', fencingNumber: 1 };
const GROUP = {
  name: 'engines',
  maxConnections: 100,
  engine: undefined,
  scaling: {
    minEndpoints: 1,
    maxEndpoints: 4,
    bootMs: 4_000,
    reclaimablePrice: 0.15,
    pricesByDataCentre: { a: 1, b: 0.8 },
  },
};

const SERVING = ['a', 'a', 'a', 'b', 'b', 'b'].map(dataCentre =>
  reclaimableAt(dataCentre),
);

/**
 * Takes orders as the platform does: one limit holds for both kinds, and an
 * order that is refused still lowers the number wanted.
 */
class ScriptedCloud implements DutyCalls {
  readonly orders: ScalingOrder[] = [];
  readonly counts = new Map<string, number>();
  isDry = false;
  isDown = false;

  reportUsage(): Promise<void> {
    return Promise.resolve();
  }

  order(order: ScalingOrder): Promise<OrderOutcome> {
    if (this.isDown) return Promise.reject(new RefusedError('down', false));
    this.orders.push(order);
    const { count, dataCentre, isReclaimable } = order;
    const key = `${dataCentre} ${String(isReclaimable)}`;
    const other = this.counts.get(`${dataCentre} ${String(!isReclaimable)}`);
    assert.ok(count + (other ?? 0) <= GROUP.scaling.maxEndpoints);
    if (isReclaimable && this.isDry) {
      this.counts.set(key, Math.min(count, this.counts.get(key) ?? 0));
      return Promise.resolve(OrderOutcome.Unavailable);
    }
    this.counts.set(key, count);
    return Promise.resolve(OrderOutcome.Accepted);
  }

  onDemand(): number {
    return ['a', 'b']
      .map(each => this.counts.get(`${each} false`) ?? 0)
      .reduce((total, count) => total + count, 0);
  }
}

function start(endpoints: readonly EndpointRecord[] = []) {
  const clock = new ManualClock(1_000);
  const cloud = new ScriptedCloud();
  const load = { running: 0 };
  const scaler = new FleetScaler({
    clock,
    calls: cloud,
    log: silentLog,
    groups: () => [GROUP],
    endpoints: () => endpoints,
    runningIn: () => load.running,
  });
  const stepFor = async (timeMs: number) => {
    const untilMs = clock.nowMs() + timeMs;
    while (clock.nowMs() < untilMs) {
      await clock.advanceTo(clock.nowMs() + 500);
      await scaler.step(() => PROOF);
    }
  };
  return { clock, cloud, load, scaler, stepFor };
}

describe('FleetScaler', () => {
  it('gives an accepted order again only after a while', async () => {
    const { cloud, scaler, stepFor } = start(SERVING);
    await scaler.step(() => PROOF);
    await stepFor(5_000);
    assert.equal(cloud.orders.length, 4);
    await stepFor(6_000);
    const reclaimable = cloud.orders.filter(each => each.isReclaimable);
    assert.equal(reclaimable.length, 4);
  });

  it('orders on-demand endpoints in the step after the reclaimable ones were refused', async () => {
    const { cloud, load, stepFor } = start();
    cloud.isDry = true;
    load.running = 16;
    await stepFor(1_000);
    assert.equal(cloud.onDemand(), 3);
  });

  it('keeps both kinds within the limit while one takes the places of the other', async () => {
    const { cloud, load, stepFor } = start();
    load.running = 60;
    cloud.isDry = true;
    await stepFor(20_000);
    assert.equal(cloud.onDemand(), 6);
    cloud.isDry = false;
    load.running = 0;
    await stepFor(20_000);
    load.running = 60;
    cloud.isDry = true;
    await stepFor(20_000);
  });

  it('replaces reclaimable endpoints that were accepted and never came', async () => {
    const { cloud, stepFor } = start();
    await stepFor(4_000);
    assert.equal(cloud.onDemand(), 1);
    await stepFor(4_000);
    assert.equal(cloud.onDemand(), 3);
  });

  it('goes on after an outage of the platform', async () => {
    const { cloud, stepFor } = start();
    cloud.isDown = true;
    await stepFor(3_000);
    assert.equal(cloud.orders.length, 0);
    cloud.isDown = false;
    await stepFor(500);
    assert.equal(cloud.orders.length, 4);
  });

  it('stops in the middle of a step once the duty is lost', async () => {
    const { cloud, scaler } = start();
    let proofs = 0;
    await scaler.step(() => {
      proofs += 1;
      return proofs <= 2 ? PROOF : undefined;
    });
    assert.equal(cloud.orders.length, 1);
  });

  it('gives all orders again under a new term of the duty', async () => {
    const { cloud, scaler } = start();
    await scaler.step(() => PROOF);
    await scaler.step(() => ({ ...PROOF, fencingNumber: 3 }));
    assert.equal(cloud.orders.length, 8);
  });
});
