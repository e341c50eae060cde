import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { DaemonIdentity } from '../ports/index.js';
import { KnownDaemons } from './known-daemons.js';

const LATER_MS = 60_000;

function identityOf(index: number): DaemonIdentity {
  const id = `edge-${String(index).padStart(3, '0')}`;
  return { id, peerAddress: id, dataCentre: 'north-1', callerUrl: '' };
}

/** Daemons as the first of `listedCount` knows them that hears of `liveCount` later on. */
function knownLater(listedCount: number, liveCount: number): KnownDaemons {
  let nowMs = 0;
  const all = Array.from({ length: listedCount }, (_, index) =>
    identityOf(index),
  );
  const known = new KnownDaemons({
    ownId: identityOf(1).id,
    nowMs: () => nowMs,
    livePeers: () => all.slice(0, liveCount),
  });
  known.recordListed(all.map(({ id }) => id));
  nowMs = LATER_MS;
  return known;
}

describe('KnownDaemons', () => {
  // Each daemon divided a limit on all of them among those of its cell.
  it('counts the listed daemons where each hears of a part of them only', () => {
    const known = knownLater(300, 80);
    assert.equal(known.ids().length, 300);
    assert.equal(known.rank(), 1);
  });

  it('counts no listed daemon that it should have heard of', () => {
    assert.equal(knownLater(9, 5).ids().length, 5);
  });
});
