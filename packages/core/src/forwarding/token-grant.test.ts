import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { TokenRate } from './configuration.js';
import { TokenBucketLedger } from './token-bucket-ledger.js';
import type { TokenGrant } from './token-grant.js';

const SEED = 20_261_206;
const RATE: TokenRate = {
  tokensPerSecond: 100,
  burstTokens: 200,
  plainTokens: 1,
};
const WORKSPACE = 'a';
const WINDOW_MS = 8_000;
const MAX_TOKENS = 120;
/** Most that a request overdraws: the largest one at the least balance that suffices. */
const MAX_OVERDRAFT = MAX_TOKENS - RATE.burstTokens * 0.15;
/** Precision of the times at which tokens are charged. */
const PRECISION_MS = 25;

interface Call {
  readonly gapMs: number;
  readonly tokens: number;
  readonly delayMs: number;
}

interface Write {
  readonly atMs: number;
  readonly tokens: number;
}

interface Result {
  readonly writes: readonly Write[];
  readonly refusedOnArrival: number;
  readonly refusedLate: number;
}

/** Plays requests that are written some time after their admission. */
function play(calls: readonly Call[]): Result {
  const ledger = new TokenBucketLedger();
  const writes: Write[] = [];
  const admitted: (Write & { grant: TokenGrant })[] = [];
  let refusedOnArrival = 0;
  let refusedLate = 0;
  const writeUntil = (untilMs: number) => {
    for (;;) {
      admitted.sort((one, other) => other.atMs - one.atMs);
      const next = admitted.at(-1);
      if (next === undefined || next.atMs > untilMs) return;
      admitted.pop();
      const { atMs, grant, tokens } = next;
      if (grant.waitMs(atMs) === undefined) {
        grant.recordWrite(atMs);
        writes.push({ atMs, tokens });
      } else refusedLate += 1;
      grant.close(atMs);
    }
  };
  let nowMs = 0;
  for (const { delayMs, gapMs, tokens } of calls) {
    nowMs += gapMs;
    writeUntil(nowMs);
    if (ledger.waitMs(WORKSPACE, RATE, tokens, nowMs) === undefined) {
      const grant = ledger.deduct(WORKSPACE, RATE, tokens, nowMs);
      admitted.push({ atMs: nowMs + delayMs, tokens, grant });
    } else refusedOnArrival += 1;
  }
  writeUntil(Infinity);
  return { writes, refusedOnArrival, refusedLate };
}

function sumBetween(
  writes: readonly Write[],
  fromMs: number,
  toMs: number,
): number {
  return writes
    .filter(({ atMs }) => atMs >= fromMs && atMs <= toMs)
    .reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Asserts that no window of up to 8 s has more tokens than the bucket allows. */
function assertBound(writes: readonly Write[]): void {
  for (const { atMs: fromMs } of writes)
    for (const { atMs: toMs } of writes) {
      if (toMs < fromMs || toMs - fromMs > WINDOW_MS) continue;
      const spanMs = toMs - fromMs + PRECISION_MS;
      const allowed =
        RATE.burstTokens +
        MAX_OVERDRAFT +
        (RATE.tokensPerSecond * spanMs) / 1_000;
      assert.ok(sumBetween(writes, fromMs, toMs) <= allowed + 0.01);
    }
}

function callsWith(maxGapMs: number, maxDelayMs: number) {
  const call = fc.record({
    gapMs: fc.nat(maxGapMs),
    tokens: fc.integer({ min: 1, max: MAX_TOKENS }),
    delayMs: fc.nat(maxDelayMs),
  });
  return fc.array(call, { minLength: 20, maxLength: 60 });
}

describe('TokenGrant', () => {
  // Requests admitted over several seconds were written together.
  it('keeps what is written within the limit, whatever the delay', () => {
    fc.assert(
      fc.property(callsWith(600, 12_000), calls => {
        assertBound(play(calls).writes);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('keeps what is written together after pauses within the limit', () => {
    const pauses = fc.array(fc.integer({ min: 200, max: 9_000 }), {
      minLength: 1,
      maxLength: 4,
    });
    fc.assert(
      fc.property(callsWith(300, 20), pauses, (calls, lengths) => {
        // All that is admitted within a pause is written at its end.
        let nowMs = 0;
        let endsAtMs = 0;
        const held = calls.map((call, index) => {
          nowMs += call.gapMs;
          if (index % 10 === 0)
            endsAtMs = nowMs + (lengths[(index / 10) % lengths.length] ?? 0);
          return { ...call, delayMs: Math.max(call.delayMs, endsAtMs - nowMs) };
        });
        assertBound(play(held).writes);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  // Where a request was written after others that came later, the check must not take their tokens for missing.
  it('refuses nothing late whose delays are short, at any demand', () => {
    fc.assert(
      fc.property(callsWith(400, 60), calls => {
        assert.equal(play(calls).refusedLate, 0);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('refuses nothing of a workspace within its rate, also with delays of a second', () => {
    // Twelve tokens each 200 ms are three fifths of the rate.
    const delays = fc.array(fc.nat(1_000), { minLength: 50, maxLength: 50 });
    fc.assert(
      fc.property(delays, all => {
        const calls = all.map(delayMs => ({
          delayMs,
          gapMs: 200,
          tokens: 12,
        }));
        const { refusedLate, refusedOnArrival } = play(calls);
        assert.equal(refusedLate + refusedOnArrival, 0);
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  it('returns the tokens of a request that is never written', () => {
    const ledger = new TokenBucketLedger();
    const grant = ledger.deduct(WORKSPACE, RATE, 200, 0);
    assert.notEqual(ledger.waitMs(WORKSPACE, RATE, 100, 10), undefined);
    grant.close(10);
    assert.equal(ledger.waitMs(WORKSPACE, RATE, 100, 10), undefined);
  });

  // The window is cleared where the limit is lowered; removing an older charge from it would take those of others.
  it('leaves the tokens of others as they are after the limit was lowered', () => {
    const ledger = new TokenBucketLedger();
    const grant = ledger.deduct(WORKSPACE, RATE, 100, 0);
    const lower = { ...RATE, tokensPerSecond: 50 };
    assert.equal(ledger.tryAcquire(WORKSPACE, lower, 90, 0), undefined);
    const before = ledger.dumpState(5);
    grant.close(5);
    assert.deepEqual(ledger.dumpState(5), before);
  });
});
