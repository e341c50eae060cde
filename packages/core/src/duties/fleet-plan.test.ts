import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { EndpointRecord } from '../forwarding/index.js';
import { EndpointState } from '../forwarding/index.js';
import { planFleet } from './fleet-plan.js';

const scaling = {
  minEndpoints: 1,
  maxEndpoints: 4,
  bootMs: 4_000,
  reclaimablePrice: 0.15,
  pricesByDataCentre: { a: 1, b: 0.8, c: 1.25, d: 0.9 },
};

function reclaimable(
  dataCentre: string,
  state = EndpointState.Ready,
): EndpointRecord {
  return {
    id: dataCentre,
    address: '10.0.0.1:80',
    group: 'engines',
    dataCentre,
    version: 'v1',
    slots: 48,
    state,
    coldRemainingMs: 0,
    isReclaimable: true,
    leavesInMs: undefined,
    bornAtMs: undefined,
  };
}

function totals(endpoints: readonly EndpointRecord[], running: number) {
  const plan = planFleet({ scaling, endpoints, running });
  const sum = (isReclaimable: boolean) =>
    plan
      .filter(each => each.isReclaimable === isReclaimable)
      .reduce((total, each) => total + each.count, 0);
  return { reclaimable: sum(true), onDemand: sum(false), plan };
}

const eight = ['a', 'a', 'b', 'b', 'c', 'c', 'd', 'd'];

describe('planFleet', () => {
  it('carries the load by reclaimable endpoints, also without any one data centre', () => {
    const { onDemand, plan } = totals(
      eight.map(each => reclaimable(each)),
      32,
    );
    const each = plan.filter(count => count.isReclaimable);
    assert.deepEqual(new Set(each.map(count => count.count)), new Set([2]));
    assert.equal(onDemand, 1);
  });

  it('replaces reclaimable endpoints that leave by on-demand ones, the cheapest first', () => {
    const present = [
      ...['a', 'a'].map(each => reclaimable(each)),
      ...['b', 'b', 'c', 'c', 'd', 'd'].map(each =>
        reclaimable(each, EndpointState.Draining),
      ),
    ];
    const { onDemand, plan } = totals(present, 32);
    assert.equal(onDemand, 3);
    const filled = plan.filter(each => !each.isReclaimable && each.count > 0);
    assert.deepEqual(
      filled.map(each => each.dataCentre),
      ['b', 'd', 'a'],
    );
  });

  it('stays within the limits of each data centre, whatever the load', () => {
    const { plan } = totals([], 10_000);
    for (const dataCentre of ['a', 'b', 'c', 'd']) {
      const both = plan.filter(each => each.dataCentre === dataCentre);
      const sum = both.reduce((total, each) => total + each.count, 0);
      assert.ok(sum <= scaling.maxEndpoints);
      assert.ok(sum >= scaling.minEndpoints);
    }
  });

  it('orders on demand alone where nothing can be reclaimed', () => {
    const plan = planFleet({
      scaling: { ...scaling, reclaimablePrice: undefined },
      endpoints: [],
      running: 32,
    });
    const reclaimables = plan.filter(each => each.isReclaimable);
    assert.ok(reclaimables.every(each => each.count === 0));
    const onDemand = plan.reduce((total, each) => total + each.count, 0);
    assert.equal(onDemand, 5);
  });
});
