import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { BodyFraming, bodyFraming } from './body-framing.js';

describe('bodyFraming', () => {
  it('is explicit with a length or chunks', () => {
    const framed = [
      ['Content-Length', '5'],
      ['x', 'y', 'Transfer-Encoding', 'Chunked'],
      ['content-length', '5', 'transfer-encoding', 'identity'],
    ];
    for (const headers of framed) {
      assert.equal(bodyFraming('GET', 200, headers), BodyFraming.Explicit);
    }
  });

  it('is the end of the connection without both', () => {
    const unframed = [
      [],
      ['x', 'content-length'],
      ['transfer-encoding', 'identity'],
    ];
    for (const headers of unframed) {
      assert.equal(bodyFraming('GET', 200, headers), BodyFraming.ConnectionEnd);
    }
  });

  it('is explicit for a response that has no body', () => {
    assert.equal(bodyFraming('HEAD', 200, []), BodyFraming.Explicit);
    assert.equal(bodyFraming('GET', 204, []), BodyFraming.Explicit);
    assert.equal(bodyFraming('GET', 304, []), BodyFraming.Explicit);
  });

  it('is unknown with any other transfer coding', () => {
    const codings = ['gzip', 'chunked, gzip', 'gzip, chunked', 'xchunked', ''];
    for (const coding of codings) {
      const headers = ['transfer-encoding', coding];
      assert.equal(
        bodyFraming('GET', 200, headers),
        BodyFraming.Unknown,
        coding,
      );
    }
    const repeated = ['chunked', 'identity'].flatMap(coding => [
      'transfer-encoding',
      coding,
    ]);
    assert.equal(bodyFraming('GET', 200, repeated), BodyFraming.Unknown);
  });
});
