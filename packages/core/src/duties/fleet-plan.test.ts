import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { EndpointRecord } from '../forwarding/index.js';
import { EndpointState } from '../forwarding/index.js';
import { reclaimableAt } from './fakes/index.js';
import type { LastOrder } from './fleet-plan.js';
import { planFleet } from './fleet-plan.js';

const NO_ORDERS = {
  reclaimableOrders: new Map<string, LastOrder>(),
  onDemandOrders: new Map<string, LastOrder>(),
};

const scaling = {
  minEndpoints: 1,
  maxEndpoints: 4,
  bootMs: 4_000,
  reclaimablePrice: 0.15,
  pricesByDataCentre: { a: 1, b: 0.8, c: 1.25, d: 0.9 },
};

function order(count: number, isAccepted = true, isRecent = false): LastOrder {
  return { count, isAccepted, isRecent };
}

function ordersIn(
  dataCentres: readonly string[],
  last: LastOrder,
): Map<string, LastOrder> {
  return new Map(dataCentres.map(each => [each, last]));
}

function totals(
  endpoints: readonly EndpointRecord[],
  running: number,
  orders: Partial<typeof NO_ORDERS> = {},
) {
  const plan = planFleet({
    scaling,
    endpoints,
    running,
    ...NO_ORDERS,
    ...orders,
  });
  const sum = (isReclaimable: boolean) =>
    plan
      .filter(each => each.isReclaimable === isReclaimable)
      .reduce((total, each) => total + each.count, 0);
  return { reclaimable: sum(true), onDemand: sum(false), plan };
}

const ALL = ['a', 'b', 'c', 'd'];
const eight = [...ALL, ...ALL];

describe('planFleet', () => {
  it('carries the load by reclaimable endpoints, also without any one data centre', () => {
    const { onDemand, plan } = totals(
      eight.map(each => reclaimableAt(each)),
      32,
    );
    const each = plan.filter(count => count.isReclaimable);
    assert.deepEqual(new Set(each.map(count => count.count)), new Set([2]));
    assert.equal(onDemand, 1);
  });

  it('keeps two reclaimable endpoints a data centre for a burst after no load', () => {
    const { onDemand, reclaimable: kept } = totals([], 0);
    assert.equal(kept, 8);
    assert.equal(onDemand, 1);
  });

  it('carries the load by on-demand endpoints once one data centre is reclaimed, as others follow', () => {
    const present = [
      ...['a', 'a', 'b', 'b', 'c', 'c'].map(each => reclaimableAt(each)),
      ...['d', 'd'].map(each => reclaimableAt(each, EndpointState.Draining)),
    ];
    const { onDemand, plan } = totals(present, 32, {
      reclaimableOrders: ordersIn(ALL, order(2)),
    });
    assert.equal(onDemand, 5);
    const filled = plan.filter(each => !each.isReclaimable);
    assert.deepEqual(
      filled.map(each => [each.dataCentre, each.count]),
      [
        ['b', 2],
        ['d', 1],
        ['a', 1],
        ['c', 1],
      ],
    );
  });

  it('lets on-demand endpoints take the places of reclaimable ones that are not to be had', () => {
    const { onDemand, plan } = totals([], 80, {
      reclaimableOrders: ordersIn(ALL, order(3, false)),
    });
    assert.equal(onDemand, 11);
    // One place stays free to ask for a reclaimable one again.
    const asked = plan.filter(each => each.isReclaimable);
    assert.ok(asked.every(each => each.count >= 1));
  });

  it('does not order on-demand endpoints for reclaimable ones that are starting', () => {
    const { onDemand } = totals(
      eight.map(each => reclaimableAt(each)),
      64,
      { reclaimableOrders: ordersIn(ALL, order(3, true, true)) },
    );
    assert.equal(onDemand, 1);
  });

  it('replaces reclaimable endpoints that were promised and did not come', () => {
    const { onDemand } = totals([], 32, {
      reclaimableOrders: ordersIn(ALL, order(2)),
    });
    assert.equal(onDemand, 5);
  });

  it('keeps on-demand endpoints until the reclaimable ones that replace them serve', () => {
    const orders = {
      reclaimableOrders: ordersIn(ALL, order(2, true, true)),
      onDemandOrders: new Map([
        ['b', order(2)],
        ['d', order(1)],
      ]),
    };
    assert.equal(totals([], 32, orders).onDemand, 3);
    const served = eight.map(each => reclaimableAt(each));
    assert.equal(totals(served, 32, orders).onDemand, 1);
  });

  it('leaves on-demand endpoints where they are when the data centres change', () => {
    const { plan } = totals([], 32, {
      reclaimableOrders: ordersIn(ALL, order(2, false)),
      onDemandOrders: new Map([['c', order(3)]]),
    });
    const inC = plan.find(
      each => each.dataCentre === 'c' && !each.isReclaimable,
    );
    assert.equal(inC?.count, 3);
  });

  it('stays within the limits of each data centre, whatever the load', () => {
    const { plan } = totals([], 10_000, {
      reclaimableOrders: ordersIn(['a', 'b'], order(3, false)),
      onDemandOrders: ordersIn(ALL, order(4)),
    });
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
      ...NO_ORDERS,
    });
    const reclaimables = plan.filter(each => each.isReclaimable);
    assert.ok(reclaimables.every(each => each.count === 0));
    const onDemand = plan.reduce((total, each) => total + each.count, 0);
    assert.equal(onDemand, 5);
  });
});
