import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { ResumePoint } from './resume-token.js';
import {
  ResumeTokenError,
  ResumeTokenFault,
  ResumeTokenSigner,
} from './resume-token.js';

const SEED = 4;
const OLD_KEY = { id: 'old', secret: 'an-old-secret-of-the-daemons' };
const NEW_KEY = { id: 'new', secret: 'a-new-secret-of-the-daemons' };

const anyPoint: fc.Arbitrary<ResumePoint> = fc.record(
  {
    requestId: fc.string(),
    workspace: fc.string(),
    address: fc.string(),
    streamId: fc.string(),
    tokenOffset: fc.nat(),
    characters: fc.nat(),
    expiresAtMs: fc.integer({ min: 1 }),
  },
  { noNullPrototype: true },
);

function assertFault(fault: ResumeTokenFault, verify: () => ResumePoint): void {
  assert.throws(verify, error => {
    assert.ok(error instanceof ResumeTokenError);
    assert.equal(error.fault, fault);
    assert.ok(error.message.includes(error.remedy));
    return true;
  });
}

describe('ResumeTokenSigner', () => {
  const tokens = new ResumeTokenSigner([NEW_KEY, OLD_KEY]);

  it('recovers the signed point from a token', () => {
    const check = fc.property(anyPoint, point => {
      const token = tokens.sign(point);
      assert.deepEqual(tokens.verify(token, point, 0), point);
    });
    fc.assert(check, { seed: SEED });
  });

  it('rejects a token with any character changed', () => {
    const check = fc.property(
      anyPoint,
      fc.nat(),
      fc.constantFrom('A', 'z', '.', '='),
      (point, offset, character) => {
        const token = tokens.sign(point);
        const index = offset % token.length;
        const changed =
          token.slice(0, index) + character + token.slice(index + 1);
        fc.pre(changed !== token);
        assert.throws(
          () => tokens.verify(changed, point, 0),
          (error: unknown) =>
            error instanceof ResumeTokenError &&
            [ResumeTokenFault.Forged, ResumeTokenFault.Malformed].includes(
              error.fault,
            ),
        );
      },
    );
    fc.assert(check, { seed: SEED, numRuns: 500 });
  });

  it('rejects arbitrary text with ResumeTokenError only', () => {
    const check = fc.property(fc.string({ maxLength: 300 }), text => {
      assert.throws(
        () => tokens.verify(text, { requestId: 'a', workspace: 'b' }, 0),
        ResumeTokenError,
      );
    });
    fc.assert(check, { seed: SEED, numRuns: 500 });
  });

  const point: ResumePoint = {
    requestId: 'request-1',
    workspace: 'northside',
    address: '10.0.0.1:8000',
    streamId: 'request-1.1',
    tokenOffset: 3,
    characters: 12,
    expiresAtMs: 100,
  };

  it('rejects a token of another workspace or request', () => {
    const token = tokens.sign(point);
    const others = [
      { ...point, workspace: 'southside' },
      { ...point, requestId: 'request-2' },
    ];
    for (const other of others) {
      assertFault(ResumeTokenFault.Foreign, () =>
        tokens.verify(token, other, 0),
      );
    }
  });

  it('rejects an expired token', () => {
    const token = tokens.sign(point);
    assert.deepEqual(tokens.verify(token, point, 99), point);
    assertFault(ResumeTokenFault.Expired, () =>
      tokens.verify(token, point, 100),
    );
  });

  it('accepts a token while its key is in the list', () => {
    const token = new ResumeTokenSigner([OLD_KEY]).sign(point);
    assert.deepEqual(tokens.verify(token, point, 0), point);
    assertFault(ResumeTokenFault.Forged, () =>
      new ResumeTokenSigner([NEW_KEY]).verify(token, point, 0),
    );
  });
});
