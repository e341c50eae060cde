import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ManualClock, noopMetrics } from '../ports/index.js';
import { sampleConfiguration, sampleRoute } from './fakes/index.js';
import { PlainProtocol } from './fakes/plain-protocol.js';
import { RelayedTokens } from './request-tokens.js';
import { TokenBucketLedger } from './token-bucket-ledger.js';

const RATE = { tokensPerSecond: 100, burstTokens: 1_000, plainTokens: 900 };

function create() {
  const clock = new ManualClock(0);
  const tokenBuckets = new TokenBucketLedger();
  const deps = { clock, metrics: noopMetrics, tokenBuckets };
  const { workspaces } = sampleConfiguration([sampleRoute()], {}, RATE);
  const open = () =>
    new RelayedTokens(
      deps,
      {
        requestId: 'r1',
        method: 'GET',
        target: '/lookups/a',
        headers: [],
        body: undefined,
        metadata: new PlainProtocol().readRequest(),
        receivedAtMs: 0,
      },
      workspaces?.[0],
    );
  return { clock, open, tokenBuckets };
}

describe('the tokens of a request that a peer passed on', () => {
  it('are not deducted again if it is written at once', () => {
    const { open, tokenBuckets } = create();
    for (let sent = 0; sent < 3; sent += 1) {
      const tokens = open();
      assert.equal(tokens.mayWrite(), true);
      tokens.recordWrite();
    }
    assert.equal(tokenBuckets.waitMs('kowhai', RATE, 900, 0), undefined);
  });

  // A late peer wrote together what others had admitted over several seconds.
  it('are checked and deducted here if this daemon is late', async () => {
    const { clock, open, tokenBuckets } = create();
    await clock.advanceTo(5_000);
    const written = open();
    assert.equal(written.mayWrite(), true);
    written.recordWrite();
    const refused = open();
    assert.equal(refused.mayWrite(), false);
    assert.equal(refused.refusal?.retryInMs, 500);
    // The peer that took it from its caller tells the others of it.
    assert.deepEqual(tokenBuckets.grantedTotals(), {});
  });
});
