import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ReadGarbage, readGarbage } from './read-garbage.js';

const CHUNK_BYTES = 65_536;

describe('ReadGarbage', () => {
  it('collects each time that the bound is reached', () => {
    let count = 0;
    const garbage = new ReadGarbage(() => {
      count += 1;
    }, 4 * CHUNK_BYTES);
    for (let number = 0; number < 11; number += 1)
      garbage.add(Buffer.alloc(CHUNK_BYTES));
    assert.equal(count, 2);
  });

  // Guards against a version of Node.js whose collector cannot be reached.
  it('frees chunks that V8 would keep until they reach 32 MB', () => {
    let peakBytes = 0;
    for (let number = 0; number < 400; number += 1) {
      readGarbage.add(Buffer.allocUnsafeSlow(CHUNK_BYTES));
      const { arrayBuffers } = process.memoryUsage();
      peakBytes = Math.max(peakBytes, arrayBuffers);
    }
    assert.ok(peakBytes < 20_000_000, `${peakBytes} bytes`);
  });
});
