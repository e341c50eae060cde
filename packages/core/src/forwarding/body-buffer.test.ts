import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { BodyBuffer } from './body-buffer.js';

const MAX_BYTES = 400_000;

describe('BodyBuffer', () => {
  // Blocks are used again, so that a fault would mix the bodies of two callers.
  it('joins chunks of any sizes, and holds no more than it announced', () => {
    const sizes = fc.oneof(fc.nat(5), fc.nat(200_000));
    fc.assert(
      fc.property(fc.array(sizes, { maxLength: 12 }), lengths => {
        const body = new BodyBuffer(MAX_BYTES);
        const other = new BodyBuffer(MAX_BYTES);
        const added: Buffer[] = [];
        for (const [index, length] of lengths.entries()) {
          const chunk = Buffer.alloc(length, index + 1);
          if (!body.fits(chunk)) continue;
          const announced = body.capacityWith(chunk);
          body.append(chunk);
          if (other.fits(chunk)) other.append(Buffer.alloc(length, 0xff));
          assert.equal(body.capacity, announced);
          added.push(chunk);
        }
        other.discard();
        assert.deepEqual(body.take(), Buffer.concat(added));
      }),
      { seed: 1 },
    );
  });

  it('takes little more memory than the body where its chunks are tiny', () => {
    const body = new BodyBuffer(MAX_BYTES);
    for (let number = 0; number < 1_000; number += 1)
      body.append(Buffer.from('x'));
    assert.ok(body.capacity <= 2_000);
  });

  it('has no room beyond its size', () => {
    const body = new BodyBuffer(MAX_BYTES);
    body.append(Buffer.alloc(MAX_BYTES));
    assert.equal(body.fits(Buffer.alloc(1)), false);
  });
});
