import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { Endpoint } from '../ports/index.js';
import { EndpointKind, EndpointStage } from '../ports/index.js';
import { EndpointTable } from './endpoint-table.js';

const ADDRESS = '10.0.0.1:8000';

function endpoint(overrides: Partial<Endpoint> = {}): Endpoint {
  return {
    address: ADDRESS,
    kind: EndpointKind.Model,
    group: 'model',
    version: 'v1',
    dataCentre: 'zone-1',
    instanceId: 'instance-1',
    stage: EndpointStage.Ready,
    ...overrides,
  };
}

function isCandidate(table: EndpointTable): boolean {
  return table.candidates('model')?.get(ADDRESS) !== undefined;
}

describe('EndpointTable', () => {
  it('never offers an endpoint again after any source has reported it as leaving', () => {
    const step = fc.record({
      kind: fc.constantFrom('listed', 'omitted', 'marked', 'added'),
      stage: fc.constantFrom(...Object.values(EndpointStage)),
      atMs: fc.nat(1_000),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 20 }), steps => {
        const table = new EndpointTable();
        let isLeaving = false;
        for (const { atMs, kind, stage } of steps) {
          if (kind === 'listed')
            table.applyListing([endpoint({ stage })], atMs);
          if (kind === 'omitted') table.applyListing([], atMs);
          if (kind === 'added') table.add(endpoint({ stage }), atMs);
          if (kind === 'marked') table.markLeaving(ADDRESS, atMs);
          const known = table.get(ADDRESS)?.stage;
          isLeaving ||= kind === 'marked' || known === EndpointStage.Leaving;
          isLeaving ||= known === EndpointStage.Terminated;
          assert.ok(!(isLeaving && isCandidate(table)));
        }
      }),
      { seed: 11, numRuns: 2_000 },
    );
  });

  it('ignores a listing older than the last one', () => {
    const table = new EndpointTable();
    table.applyListing([endpoint()], 100);
    table.applyListing([], 50);
    assert.ok(isCandidate(table));
  });

  it('keeps an endpoint that is newer than the listing', () => {
    const table = new EndpointTable();
    table.add(endpoint(), 100);
    table.applyListing([], 90);
    assert.ok(isCandidate(table));
    table.applyListing([], 110);
    assert.ok(!isCandidate(table));
  });

  it('accepts a new instance at the address of a leaving one', () => {
    const table = new EndpointTable();
    table.applyListing([endpoint()], 100);
    table.markLeaving(ADDRESS, 110);
    table.applyListing([endpoint({ instanceId: 'instance-2' })], 120);
    assert.ok(isCandidate(table));
  });

  it('moves an endpoint to the group of its new version', () => {
    const table = new EndpointTable();
    table.applyListing([endpoint()], 100);
    table.applyListing([endpoint({ version: 'v2' })], 110);
    assert.equal(table.readyEndpoints('model', 'v1').length, 0);
    assert.equal(table.readyEndpoints('model', 'v2').length, 1);
    assert.equal(table.readyEndpoints('model').length, 1);
  });
});
