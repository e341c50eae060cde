import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { DutyLeaseNews } from './duty-lease-news.js';

function held(fencingNumber: number, ageMs: number) {
  return { fencingNumber, holderId: `d${fencingNumber}`, isHeld: true, ageMs };
}

describe('DutyLeaseNews', () => {
  it('names the holder while the news of it is fresh', () => {
    const news = new DutyLeaseNews();
    news.record(held(1, 1_000), 5_000);
    assert.equal(news.holderId(6_900), 'd1');
    assert.equal(news.holderId(7_100), undefined);
    assert.equal(news.hint(6_000)?.ageMs, 2_000);
  });

  it('takes an ended lease for ended, whatever older news says later', () => {
    const news = new DutyLeaseNews();
    news.record(held(1, 0), 1_000);
    news.record({ ...held(1, 0), isHeld: false }, 1_100);
    news.record(held(1, 0), 1_200);
    assert.equal(news.holderId(1_200), undefined);
    news.record(held(2, 0), 1_300);
    news.record(held(1, 0), 1_400);
    assert.equal(news.holderId(1_400), 'd2');
  });

  it('does not pass on old news', () => {
    const news = new DutyLeaseNews();
    news.record(held(1, 0), 0);
    assert.equal(news.hint(31_000), undefined);
  });

  // All daemons would call the holder themselves each time that an earlier build passed the news on.
  it('remembers that a holder accepts collected counts if a daemon passes its news on without it, but not for the next holder', () => {
    const news = new DutyLeaseNews();
    const lease = { fencingNumber: 1, holderId: 'a', isHeld: true };
    news.record({ ...lease, ageMs: 0, takesCollectedUsage: true }, 1_000);
    news.record({ ...lease, ageMs: 0 }, 2_000);
    assert.equal(news.heldLease(2_000)?.takesCollectedUsage, true);
    news.record({ ...lease, fencingNumber: 2, ageMs: 0 }, 2_000);
    assert.equal(news.heldLease(2_000)?.takesCollectedUsage, undefined);
  });

  // With 80 daemons in 4 data centres, a daemon knew two live ones of each other data centre, and told no counts unless one of them was the holder.
  it('names a holder that is not among the live peers by its address, also if a daemon passes the news on without it', () => {
    const news = new DutyLeaseNews();
    const lease = { fencingNumber: 1, holderId: 'a', isHeld: true };
    news.record({ ...lease, ageMs: 0, holderPeerAddress: '10.0.0.1:1' }, 1_000);
    news.record({ ...lease, ageMs: 0 }, 2_000);
    const expected = { id: 'a', peerAddress: '10.0.0.1:1' };
    assert.deepEqual(news.holderPeer('b', [], 2_000), expected);
    assert.equal(news.holderPeer('a', [], 2_000), undefined);
    const live = { ...expected, dataCentre: 'dc-1', callerUrl: '' };
    assert.equal(news.holderPeer('b', [live], 2_000), live);
    assert.equal(news.holderPeer('b', [live], 6_000), undefined);
  });
});
