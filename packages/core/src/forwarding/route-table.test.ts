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

  it('takes the longest prefix that begins the path', () => {
    assert.equal(table.find('a.example', '/ledger/notes/1')?.name, 'notes');
    assert.equal(
      table.find('a.example', '/ledger/2?x=/notes/')?.name,
      'ledger',
    );
    assert.equal(table.find('a.example', '/ledger')?.name, 'all');
    assert.equal(table.find('a.example', '/ledgers/2')?.name, 'all');
  });

  it('compares hosts without their port and in any case', () => {
    assert.equal(table.find('A.Example:8080', '/x')?.name, 'all');
    assert.equal(table.find('b.example', '/x'), undefined);
  });

  it('finds nothing where no prefix fits', () => {
    assert.equal(table.find('other.example', '/b/c'), undefined);
    assert.equal(table.find('other.example', ''), undefined);
  });
});
