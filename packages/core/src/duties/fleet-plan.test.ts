import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { EndpointRecord } from '../forwarding/index.js';
import { EndpointState } from '../forwarding/index.js';
import { reclaimableEndpointIn } from './fakes/index.js';
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
  /** Too dear for headroom. */
  reclaimablePrice: 0.5,
  pricesByDataCentre: { a: 1, b: 0.8, c: 1.25, d: 0.9 },
};

function order(count: number, isAccepted = true, isPending = false): LastOrder {
  return { count, isAccepted, isPending };
}

function sameOrderIn(
  dataCentres: readonly string[],
  last: LastOrder,
): Map<string, LastOrder> {
  return new Map(dataCentres.map(each => [each, last]));
}

function totals(
  endpoints: readonly EndpointRecord[],
  peakInFlight: number,
  orders: Partial<typeof NO_ORDERS> = {},
) {
  const plan = planFleet({
    scaling,
    endpoints,
    peakInFlight,
    inFlightPerEndpoint: 8,
    minRequired: 0,
    ...NO_ORDERS,
    ...orders,
  });
  const sum = (isReclaimable: boolean) =>
    plan
      .filter(each => each.isReclaimable === isReclaimable)
      .reduce((total, each) => total + each.count, 0);
  return { reclaimable: sum(true), onDemand: sum(false), plan };
}

const DATA_CENTRES = ['a', 'b', 'c', 'd'];
const SEED = 20_261_206;
const lastOrderArbitrary = fc.record({
  count: fc.integer({ min: 0, max: 4 }),
  isAccepted: fc.boolean(),
  isPending: fc.boolean(),
});

function repeat<Item>(count: number, create: () => Item): readonly Item[] {
  return Array.from({ length: count }, create);
}

const EACH_DATA_CENTRE_TWICE = [...DATA_CENTRES, ...DATA_CENTRES];

describe('planFleet', () => {
  it('serves the load with reclaimable endpoints, even if one data centre is lost', () => {
    const { onDemand, plan } = totals(
      EACH_DATA_CENTRE_TWICE.map(each => reclaimableEndpointIn(each)),
      32,
    );
    const reclaimable = plan.filter(planned => planned.isReclaimable);
    assert.deepEqual(
      new Set(reclaimable.map(planned => planned.count)),
      new Set([2]),
    );
    assert.equal(onDemand, 1);
  });

  it('keeps two reclaimable endpoints in each data centre without load, for a burst', () => {
    const { onDemand, reclaimable } = totals([], 0);
    assert.equal(reclaimable, 8);
    assert.equal(onDemand, 1);
  });

  it('serves the load with on-demand endpoints once one data centre is reclaimed, as others often follow', () => {
    const endpoints = [
      ...['a', 'a', 'b', 'b', 'c', 'c'].map(each =>
        reclaimableEndpointIn(each),
      ),
      ...['d', 'd'].map(each =>
        reclaimableEndpointIn(each, EndpointState.Draining),
      ),
    ];
    const { onDemand, plan } = totals(endpoints, 32, {
      reclaimableOrders: sameOrderIn(DATA_CENTRES, order(2)),
    });
    assert.equal(onDemand, 5);
    const onDemandCounts = plan.filter(each => !each.isReclaimable);
    assert.deepEqual(
      onDemandCounts.map(each => [each.dataCentre, each.count]),
      [
        ['b', 2],
        ['d', 1],
        ['a', 1],
        ['c', 1],
      ],
    );
  });

  it('replaces unavailable reclaimable endpoints with on-demand endpoints', () => {
    const { onDemand, plan } = totals([], 80, {
      reclaimableOrders: sameOrderIn(DATA_CENTRES, order(3, false)),
    });
    assert.equal(onDemand, 11);
    // Capacity for one reclaimable endpoint stays free, so that it can be ordered again.
    const reclaimable = plan.filter(each => each.isReclaimable);
    assert.ok(reclaimable.every(each => each.count >= 1));
  });

  it('does not order on-demand endpoints for reclaimable ones that are starting', () => {
    const { onDemand } = totals(
      EACH_DATA_CENTRE_TWICE.map(each => reclaimableEndpointIn(each)),
      64,
      { reclaimableOrders: sameOrderIn(DATA_CENTRES, order(3, true, true)) },
    );
    assert.equal(onDemand, 1);
  });

  it('replaces reclaimable endpoints that were accepted but did not start in time', () => {
    const { onDemand } = totals([], 32, {
      reclaimableOrders: sameOrderIn(DATA_CENTRES, order(2)),
    });
    assert.equal(onDemand, 5);
  });

  it('keeps on-demand endpoints until the reclaimable ones that replace them are ready', () => {
    const orders = {
      reclaimableOrders: sameOrderIn(DATA_CENTRES, order(2, true, true)),
      onDemandOrders: new Map([
        ['b', order(2)],
        ['d', order(1)],
      ]),
    };
    assert.equal(totals([], 32, orders).onDemand, 3);
    const ready = EACH_DATA_CENTRE_TWICE.map(each =>
      reclaimableEndpointIn(each),
    );
    assert.equal(totals(ready, 32, orders).onDemand, 1);
  });

  it('leaves on-demand endpoints in their data centre, even if others are cheaper', () => {
    const { plan } = totals([], 32, {
      reclaimableOrders: sameOrderIn(DATA_CENTRES, order(2, false)),
      onDemandOrders: new Map([['c', order(3)]]),
    });
    const inC = plan.find(
      each => each.dataCentre === 'c' && !each.isReclaimable,
    );
    assert.equal(inC?.count, 3);
  });

  it('stays within the limits of each data centre under any load', () => {
    const { plan } = totals([], 10_000, {
      reclaimableOrders: sameOrderIn(['a', 'b'], order(3, false)),
      onDemandOrders: sameOrderIn(DATA_CENTRES, order(4)),
    });
    for (const dataCentre of ['a', 'b', 'c', 'd']) {
      const planned = plan.filter(each => each.dataCentre === dataCentre);
      const sum = planned.reduce((total, each) => total + each.count, 0);
      assert.ok(sum <= scaling.maxEndpoints);
      assert.ok(sum >= scaling.minEndpoints);
    }
  });

  it('stays within the limits and serves the load in any state', () => {
    const dataCentreState = fc.record({
      ready: fc.integer({ min: 0, max: 4 }),
      draining: fc.integer({ min: 0, max: 4 }),
      reclaimableOrder: fc.option(lastOrderArbitrary, { nil: undefined }),
      onDemandOrder: fc.option(lastOrderArbitrary, { nil: undefined }),
    });
    fc.assert(
      fc.property(
        fc.tuple(
          dataCentreState,
          dataCentreState,
          dataCentreState,
          dataCentreState,
        ),
        fc.integer({ min: 0, max: 200 }),
        (states, peakInFlight) => {
          const endpoints = states.flatMap(({ draining, ready }, index) => [
            ...repeat(ready, () =>
              reclaimableEndpointIn(DATA_CENTRES[index] ?? ''),
            ),
            ...repeat(draining, () =>
              reclaimableEndpointIn(
                DATA_CENTRES[index] ?? '',
                EndpointState.Draining,
              ),
            ),
          ]);
          const ordersOf = (pick: 'reclaimableOrder' | 'onDemandOrder') =>
            new Map(
              states.flatMap((state, index) => {
                const last = state[pick];
                return last === undefined
                  ? []
                  : [[DATA_CENTRES[index] ?? '', last] as const];
              }),
            );
          const { onDemand, plan } = totals(endpoints, peakInFlight, {
            reclaimableOrders: ordersOf('reclaimableOrder'),
            onDemandOrders: ordersOf('onDemandOrder'),
          });
          for (const dataCentre of DATA_CENTRES) {
            const planned = plan.filter(each => each.dataCentre === dataCentre);
            const counts = planned.map(each => each.count);
            assert.ok(counts.every(count => count >= 0));
            assert.ok((counts[0] ?? 0) + (counts[1] ?? 0) <= 4);
          }
          const hasEndpoints = endpoints.length > 0;
          const mayStart = states.some(
            ({ reclaimableOrder: last }) =>
              last === undefined || (last.isAccepted && last.isPending),
          );
          const required = Math.max(3, Math.ceil(peakInFlight / 8) + 1);
          const capacity = 3 * DATA_CENTRES.length;
          if (!hasEndpoints && !mayStart) {
            assert.ok(onDemand >= Math.min(required, capacity));
          }
        },
      ),
      { seed: SEED },
    );
  });

  it('keeps cheap reclaimable endpoints for twice the load, since a burst comes before ordered ones have started', () => {
    const countsAt = (reclaimablePrice: number) =>
      planFleet({
        scaling: { ...scaling, maxEndpoints: 40, reclaimablePrice },
        endpoints: [],
        peakInFlight: 160,
        inFlightPerEndpoint: 8,
        minRequired: 0,
        ...NO_ORDERS,
      })
        .filter(each => each.isReclaimable)
        .map(each => each.count);
    // 21 endpoints, of which any one data centre may be lost.
    assert.deepEqual(countsAt(0.5), [7, 7, 7, 7]);
    assert.deepEqual(countsAt(0.15), [14, 14, 14, 14]);
  });

  it('keeps the endpoints that it is asked to keep whatever the load', () => {
    const plan = planFleet({
      scaling: { ...scaling, maxEndpoints: 40 },
      endpoints: [],
      peakInFlight: 0,
      inFlightPerEndpoint: 8,
      minRequired: 24,
      ...NO_ORDERS,
    });
    const reclaimable = plan.filter(each => each.isReclaimable);
    assert.ok(reclaimable.every(each => each.count === 6));
  });

  // Spare endpoints were ordered for spare ones: 28 idle endpoints became 77, 209 and 561 by three changes of the holder.
  it('neither grows nor shrinks an idle fleet when the holder of the duties changes', () => {
    for (const reclaimablePrice of [0.15, 0.5]) {
      let counts = [7, 7, 7, 7];
      for (let change = 0; change < 4; change += 1) {
        const endpoints = counts.flatMap((count, index) =>
          repeat(count, () => reclaimableEndpointIn(DATA_CENTRES[index] ?? '')),
        );
        const plan = planFleet({
          scaling: { ...scaling, maxEndpoints: 1_000, reclaimablePrice },
          endpoints,
          peakInFlight: 0,
          inFlightPerEndpoint: 8,
          minRequired: endpoints.length + 1, // and one on demand
          ...NO_ORDERS,
        });
        counts = DATA_CENTRES.map(
          dataCentre =>
            plan.find(
              each => each.isReclaimable && each.dataCentre === dataCentre,
            )?.count ?? 0,
        );
        assert.deepEqual(counts, [7, 7, 7, 7]);
        const total = plan.reduce((sum, each) => sum + each.count, 0);
        assert.equal(total, 29);
      }
    }
  });

  it('replaces on-demand endpoints that were provisioned by reclaimable ones with spare ones, for a burst at the start', () => {
    const plan = planFleet({
      scaling: { ...scaling, maxEndpoints: 40, reclaimablePrice: 0.15 },
      endpoints: [],
      peakInFlight: 0,
      inFlightPerEndpoint: 8,
      minRequired: 28,
      provisionedOnDemand: 28,
      ...NO_ORDERS,
    });
    const reclaimable = plan.filter(each => each.isReclaimable);
    // Twice 28, of which any one data centre may be lost.
    assert.ok(reclaimable.every(each => each.count === 19));
  });

  it('ends no endpoint of a data centre that has more than its share, while the others are to start', () => {
    const endpoints = repeat(20, () => reclaimableEndpointIn('a'));
    const plan = planFleet({
      scaling: { ...scaling, maxEndpoints: 40 },
      endpoints,
      peakInFlight: 0,
      inFlightPerEndpoint: 8,
      minRequired: 20,
      ...NO_ORDERS,
    });
    const kept = plan.find(
      each => each.isReclaimable && each.dataCentre === 'a',
    );
    assert.equal(kept?.count, 20);
  });

  it('orders only on-demand endpoints where the group has no reclaimable ones', () => {
    const plan = planFleet({
      scaling: { ...scaling, reclaimablePrice: undefined },
      endpoints: [],
      peakInFlight: 32,
      inFlightPerEndpoint: 8,
      minRequired: 0,
      ...NO_ORDERS,
    });
    const reclaimable = plan.filter(each => each.isReclaimable);
    assert.ok(reclaimable.every(each => each.count === 0));
    const onDemand = plan.reduce((total, each) => total + each.count, 0);
    assert.equal(onDemand, 5);
  });
});
