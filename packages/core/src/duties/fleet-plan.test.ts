import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

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
const SEED = 20_261_206;
const anyOrder = fc.record({
  count: fc.integer({ min: 0, max: 4 }),
  isAccepted: fc.boolean(),
  isRecent: fc.boolean(),
});

function repeat<Item>(count: number, create: () => Item): readonly Item[] {
  return Array.from({ length: count }, create);
}

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

  it('keeps to the limits and carries the load in any situation', () => {
    const place = fc.record({
      ready: fc.integer({ min: 0, max: 4 }),
      draining: fc.integer({ min: 0, max: 4 }),
      reclaimableOrder: fc.option(anyOrder, { nil: undefined }),
      onDemandOrder: fc.option(anyOrder, { nil: undefined }),
    });
    fc.assert(
      fc.property(
        fc.tuple(place, place, place, place),
        fc.integer({ min: 0, max: 200 }),
        (places, running) => {
          const endpoints = places.flatMap(({ draining, ready }, index) => [
            ...repeat(ready, () => reclaimableAt(ALL[index] ?? '')),
            ...repeat(draining, () =>
              reclaimableAt(ALL[index] ?? '', EndpointState.Draining),
            ),
          ]);
          const ordersOf = (pick: 'reclaimableOrder' | 'onDemandOrder') =>
            new Map(
              places.flatMap((each, index) => {
                const last = each[pick];
                return last === undefined
                  ? []
                  : [[ALL[index] ?? '', last] as const];
              }),
            );
          const { onDemand, plan } = totals(endpoints, running, {
            reclaimableOrders: ordersOf('reclaimableOrder'),
            onDemandOrders: ordersOf('onDemandOrder'),
          });
          for (const dataCentre of ALL) {
            const here = plan.filter(each => each.dataCentre === dataCentre);
            const counts = here.map(each => each.count);
            assert.ok(counts.every(count => count >= 0));
            assert.ok((counts[0] ?? 0) + (counts[1] ?? 0) <= 4);
          }
          const isAnyThere = endpoints.length > 0;
          const mayCome = places.some(
            ({ reclaimableOrder: last }) =>
              last === undefined || (last.isAccepted && last.isRecent),
          );
          const needed = Math.max(3, Math.ceil(running / 8) + 1);
          const room = 3 * ALL.length;
          if (!isAnyThere && !mayCome) {
            assert.ok(onDemand >= Math.min(needed, room));
          }
        },
      ),
      { seed: SEED },
    );
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
