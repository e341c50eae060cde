import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { sampleRoute } from './fakes/index.js';
import { RouteTable } from './route-table.js';

describe('RouteTable', () => {
  const table = new RouteTable([
    sampleRoute({ name: 'all', pathPrefix: '/' }),
    sampleRoute({ name: 'ledger', pathPrefix: '/ledger/' }),
    sampleRoute({ name: 'notes', pathPrefix: '/ledger/notes/' }),
    sampleRoute({ name: 'other', host: 'other.example', pathPrefix: '/a/' }),
  ]);

  it('finds the route with the longest matching path prefix', () => {
    assert.equal(table.find('a.example', '/ledger/notes/1')?.name, 'notes');
    assert.equal(
      table.find('a.example', '/ledger/2?x=/notes/')?.name,
      'ledger',
    );
    assert.equal(table.find('a.example', '/ledger')?.name, 'all');
    assert.equal(table.find('a.example', '/ledgers/2')?.name, 'all');
  });

  it('compares hosts case-insensitively and without their port', () => {
    assert.equal(table.find('A.Example:8080', '/x')?.name, 'all');
    assert.equal(table.find('b.example', '/x'), undefined);
  });

  it('finds no route if no prefix matches', () => {
    assert.equal(table.find('other.example', '/b/c'), undefined);
    assert.equal(table.find('other.example', ''), undefined);
  });
});
