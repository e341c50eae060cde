import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { combineHomeRegions, RegionMap } from './home-regions.js';

const SEED = 1;
const REGIONS = { 'n-1': 'north', 'n-2': 'north', 's-1': 'south' };

describe('combineHomeRegions', () => {
  it('allows a region exactly where each restriction that there is allows it', () => {
    const regions = fc.option(fc.subarray(['north', 'south', 'east']), {
      nil: undefined,
    });
    const property = fc.property(regions, regions, (first, second) => {
      const both = combineHomeRegions(first, second);
      for (const region of ['north', 'south', 'east']) {
        const expected = [first, second].every(
          each =>
            each === undefined || each.length === 0 || each.includes(region),
        );
        assert.equal(both?.includes(region) ?? true, expected);
      }
    });
    fc.assert(property, { seed: SEED });
  });
});

describe('RegionMap', () => {
  it('takes the data centres of the regions as homes, and lets the body go to those and to the own region', () => {
    const homes = new RegionMap('n-1', REGIONS).homesOf(['south']);
    assert.deepEqual([...(homes?.endpointDataCentres ?? [])], ['s-1']);
    const daemons = [...(homes?.daemonDataCentres ?? [])].sort();
    assert.deepEqual(daemons, ['n-1', 'n-2', 's-1']);
  });

  it('takes a data centre without a region for no home, and its daemon for the only one of its own', () => {
    const homes = new RegionMap('w-1', REGIONS).homesOf(['north']);
    assert.equal(homes?.endpointDataCentres.has('w-1'), false);
    const daemons = [...homes.daemonDataCentres].sort();
    assert.deepEqual(daemons, ['n-1', 'n-2', 'w-1']);
    const none = new RegionMap('w-1', {}).homesOf(['north']);
    assert.equal(none?.endpointDataCentres.size, 0);
  });
});
