import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';

import fc from 'fast-check';

import { ManualClock, noopLog, noopMetrics } from '../ports/index.js';
import type { RequestShare } from './request-memory.js';
import { RequestMemory } from './request-memory.js';

const LIMIT_BYTES = 1_000_000;
const LARGE_BYTES = 400_000;
const SMALL_BYTES = 1_000;

describe('RequestMemory', () => {
  let clock: ManualClock;
  let memory: RequestMemory;
  let evicted: string[];

  function setUp(): void {
    clock = new ManualClock(0);
    evicted = [];
    const deps = { clock, log: noopLog, metrics: noopMetrics };
    memory = new RequestMemory(deps, LIMIT_BYTES);
  }

  beforeEach(setUp);

  function open(name: string): RequestShare {
    const share = memory.open(name.slice(0, 1));
    share.onEvicted = () => {
      evicted.push(name);
    };
    return share;
  }

  /** Opens a request, named after its caller, that holds memory; returns whether it got it. */
  function hold(name: string, bytes = LARGE_BYTES): boolean {
    return open(name).tryHold(bytes);
  }

  // Bodies held open took all memory of the process.
  it('evicts the oldest request of the caller that holds the most', async () => {
    for (const name of ['b1', 'a1', 'a2']) assert.ok(hold(name, 300_000));
    await clock.advanceTo(2_000);
    assert.ok(hold('c1', 300_000));
    assert.deepEqual(evicted, ['a1']);
  });

  it('refuses a caller that holds the most already, rather than evict the requests of others', () => {
    assert.ok(hold('b1'));
    assert.ok(open('a1').tryHold(500_000));
    assert.equal(hold('a2', 500_000), false);
    assert.deepEqual(evicted, []);
  });

  // Each new request would otherwise evict the one before it, and none would be read whole.
  it('keeps what a caller sends within a second from its own next requests', async () => {
    assert.ok(hold('a1') && hold('a2'));
    assert.equal(hold('a3'), false);
    await clock.advanceTo(1_000);
    assert.ok(hold('a4'));
    assert.deepEqual(evicted, ['a1']);
  });

  it('never refuses a small request while a larger one is being read', () => {
    assert.ok(hold('a1') && hold('a2'));
    for (let number = 0; number < 50; number += 1)
      assert.ok(hold(`b${number}`, SMALL_BYTES));
    assert.deepEqual(evicted, ['a1']);
  });

  it('keeps what was read whole, and refuses what does not fit beside it', () => {
    for (const name of ['a1', 'a2']) {
      const share = open(name);
      assert.ok(share.tryHold(LARGE_BYTES));
      share.isComplete = true;
    }
    assert.equal(hold('b1'), false);
    assert.ok(hold('b2', SMALL_BYTES));
    assert.deepEqual(evicted, []);
  });

  it('bounds small requests too, once nothing can be evicted', () => {
    let held = 0;
    for (let number = 0; number < 1_000; number += 1) {
      const share = open('a');
      if (!share.tryHold(SMALL_BYTES)) break;
      share.isComplete = true;
      held += 1;
    }
    assert.ok(held < 1_000 && memory.heldBytes <= 2 * LIMIT_BYTES);
  });

  it('grants a request less than it holds while small ones exceed the limit', () => {
    const share = open('a1');
    assert.ok(share.tryHold(LIMIT_BYTES / 2));
    for (let number = 0; number < 100; number += 1) {
      const other = open('b');
      other.isComplete = other.tryHold(SMALL_BYTES);
    }
    assert.equal(share.isOpen, false);
    const small = open('c');
    assert.ok(small.tryHold(SMALL_BYTES) && small.tryHold(0));
  });

  it('grants nothing to a request that was evicted, and holds nothing once all are closed', async () => {
    const shares = ['a1', 'a2', 'a3'].map(open);
    const [first] = shares;
    await clock.advanceTo(2_000);
    for (const share of shares) assert.ok(share.tryHold(LARGE_BYTES));
    assert.deepEqual(evicted, ['a1']);
    assert.equal(first?.isOpen, false);
    assert.equal(first.tryHold(1), false);
    for (const share of shares) share.close();
    assert.equal(memory.heldBytes, 0);
  });

  it('keeps its sum exact and below twice the limit, whatever is asked for', () => {
    const step = fc.record({
      index: fc.nat(9),
      bytes: fc.nat(LIMIT_BYTES),
      kind: fc.constantFrom('hold', 'hold', 'hold', 'complete', 'close'),
      laterMs: fc.nat(700),
    });
    const steps = fc.array(step, { maxLength: 60 });
    fc.assert(
      fc.property(steps, taken => {
        setUp();
        const shares = new Map<number, RequestShare>();
        for (const { bytes, index, kind, laterMs } of taken) {
          void clock.advanceTo(clock.nowMs() + laterMs);
          const share = shares.get(index) ?? open(`${index % 3}/${index}`);
          shares.set(index, share);
          if (kind === 'complete') share.isComplete = true;
          else if (kind === 'hold') share.tryHold(bytes);
          else {
            share.close();
            shares.delete(index);
          }
          let sum = 0;
          for (const each of shares.values()) sum += each.bytes;
          assert.equal(memory.heldBytes, sum);
          assert.ok(sum <= 2 * LIMIT_BYTES);
        }
      }),
      { seed: 1 },
    );
  });
});
