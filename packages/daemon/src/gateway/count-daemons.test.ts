import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { countDaemons } from './count-daemons.js';

function count(liveCount: number, knownCount: number): number {
  const ids = Array.from({ length: knownCount }, (_, index) => `d${index}`);
  const knownDaemons = { ids: () => ids };
  return countDaemons({ cluster: { size: liveCount }, knownDaemons });
}

describe('the number of daemons that share a group', () => {
  // Each of them took the whole group for its own share, and sent as many requests as all together may.
  it('is that of the listed ones until a peer is known to be alive, as when all start at once', () => {
    assert.equal(count(1, 80), 80);
  });

  it('is that of the live ones from then on, so that the share rises where peers are no longer heard', () => {
    assert.equal(count(80, 80), 80);
    assert.equal(count(41, 80), 41);
  });

  it('is that of the known ones where a daemon hears of its own cell only', () => {
    assert.equal(count(64, 2_300), 2_300);
  });
});
