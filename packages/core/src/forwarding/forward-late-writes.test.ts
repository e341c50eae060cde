import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ForwarderHarness, sampleRoute } from './fakes/index.js';
import type { ScriptedResponse } from './fakes/scripted-upstream.js';
import { ForwardErrorKind } from './forward-error.js';

const route = sampleRoute({ timeoutMs: 20_000, maxAttempts: 1 });
const tokenRate = { tokensPerSecond: 100, burstTokens: 1_000, plainTokens: 0 };
const CALLER_TIMEOUT_MS = 20_000;

function create(script: readonly ScriptedResponse[]): ForwarderHarness {
  return new ForwarderHarness(script, route, { tokenRate });
}

function serve(harness: ForwarderHarness, tokens: number) {
  const usage = { promptTokens: tokens, maxTokens: 0 };
  return harness.serve({ usage, callerTimeoutMs: CALLER_TIMEOUT_MS });
}

describe('a request that is written long after its tokens were deducted', () => {
  // Requests admitted over several seconds reached engines together, beyond the rate limit.
  it('is refused as not run, with the time at which its tokens are there', async () => {
    const harness = create([{ connectMs: 8_000 }, {}, {}]);
    const late = serve(harness, 900);
    await harness.clock.advanceTo(8_900);
    assert.equal(await serve(harness, 900), undefined);
    await harness.clock.advanceTo(9_000);
    const refused = await late;
    assert.equal(refused?.kind, ForwardErrorKind.AllowanceSpent);
    // 110 of the 150 tokens that suffice are left.
    assert.equal(refused.retryInMs, 400);
    assert.equal(harness.upstream.calls.length, 2);
    await harness.clock.advanceTo(9_400);
    assert.equal(await serve(harness, 900), undefined);
  });

  it('is written if the bucket still has its tokens, and counts from then on', async () => {
    const harness = create([{ connectMs: 8_000 }, {}]);
    const late = serve(harness, 900);
    await harness.clock.advanceTo(9_000);
    assert.equal(await late, undefined);
    const next = await serve(harness, 900);
    assert.equal(next?.kind, ForwardErrorKind.AllowanceSpent);
  });

  it('is not refused after a short delay, however little the bucket holds', async () => {
    const harness = create([{ connectMs: 30 }, { connectMs: 30 }, {}]);
    const both = [serve(harness, 850), serve(harness, 300)];
    // It uses the overdraft of small requests, and is written first.
    await harness.clock.advanceTo(1_010);
    const small = serve(harness, 1);
    await harness.clock.advanceTo(1_030);
    const ends = await Promise.all([...both, small]);
    assert.deepEqual(ends, [undefined, undefined, undefined]);
  });

  it('returns its tokens if it was never written', async () => {
    const harness = create([
      ...Array.from({ length: 3 }, () => ({ isNotSent: true })),
      {},
    ]);
    const unsent = await serve(harness, 900);
    assert.equal(unsent?.kind, ForwardErrorKind.NoEndpoint);
    assert.equal(await serve(harness, 900), undefined);
    // Peers that heard of the first grant cannot be told that it was returned.
    assert.deepEqual(harness.tokenBuckets.grantedTotals(), { kowhai: 1_800 });
  });

  // A connection to a peer takes time like one to an endpoint.
  it('is not passed on to a peer that it reaches late', async () => {
    const harness = new ForwarderHarness([{}], route, {
      tokenRate,
      peers: new Map([['p1', { connectMs: 8_000 }]]),
    });
    harness.relay.cut(false);
    const late = serve(harness, 900);
    await harness.clock.advanceTo(8_900);
    harness.relay.restore();
    assert.equal(await serve(harness, 900), undefined);
    await harness.clock.advanceTo(9_000);
    const refused = await late;
    assert.equal(refused?.kind, ForwardErrorKind.AllowanceSpent);
  });

  it('uses no tokens for a further attempt', async () => {
    const harness = new ForwarderHarness(
      [{ status: 503, metadata: { isNotRun: true } }, { connectMs: 9_000 }],
      { ...route, maxAttempts: 2 },
      { tokenRate },
    );
    const retried = serve(harness, 900);
    await harness.clock.advanceTo(10_000);
    assert.equal(await retried, undefined);
    assert.deepEqual(harness.tokenBuckets.grantedTotals(), { kowhai: 900 });
  });
});
