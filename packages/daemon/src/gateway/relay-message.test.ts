import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { PlainProtocol } from '@skylarkreach/core/forwarding/fakes';

import { decodeRelayMessage, encodeRelayMessage } from './relay-message.js';

const RELAYED = {
  request: {
    requestId: 'r1',
    method: 'POST',
    target: '/a',
    headers: ['Host', 'a.example'],
    body: Buffer.from('{"a":1}\n{}'),
    metadata: new PlainProtocol().readRequest(),
    receivedAtMs: 0,
  },
  remainingMs: 5_000,
  lastEventId: 'e7',
  excludedIds: ['i-1'],
};
const MESSAGE = Buffer.from(encodeRelayMessage(RELAYED));
const HEAD_BYTES = MESSAGE.indexOf('\n');

/** A message whose bytes were cut off, replaced or added somewhere, or any other bytes. */
const bytes = fc.oneof(
  fc.uint8Array({ maxLength: 64 }).map(each => Buffer.from(each)),
  fc
    .tuple(
      fc.nat(MESSAGE.length),
      fc.uint8Array({ maxLength: 8 }),
      fc.nat(MESSAGE.length),
    )
    .map(([end, added, start]) =>
      Buffer.concat([
        MESSAGE.subarray(0, end),
        Buffer.from(added),
        MESSAGE.subarray(start),
      ]),
    ),
  fc.jsonValue().map(value => Buffer.from(`${JSON.stringify(value)}\n`)),
);

describe('messages of relayed requests', () => {
  it('keep a request as it is', () => {
    const { request, ...rest } = RELAYED;
    const message = decodeRelayMessage(MESSAGE);
    assert.deepEqual(message?.body, request.body);
    const { headers, method, requestId, target } = request;
    const head = { headers, method, requestId, target, hasBody: true };
    assert.deepEqual(message.head, { ...head, ...rest });
  });

  // The server for peers expects no error: one would end the connection without a refusal.
  it('are read as a request or not at all, whatever they contain', () => {
    const property = fc.property(bytes, each => {
      const message = decodeRelayMessage(each);
      if (message === undefined) return;
      const { head } = message;
      assert.ok(head.remainingMs > 0 && Number.isFinite(head.remainingMs));
      assert.ok(head.headers.every(value => typeof value === 'string'));
      assert.equal(message.body !== undefined, head.hasBody);
    });
    fc.assert(property, { seed: 1, numRuns: 2_000 });
  });

  it('are not read if their head is cut off', () => {
    for (let end = 0; end <= HEAD_BYTES; end += 1)
      assert.equal(decodeRelayMessage(MESSAGE.subarray(0, end)), undefined);
    const nested = `${'['.repeat(100_000)}\n`;
    assert.equal(decodeRelayMessage(Buffer.from(nested)), undefined);
  });
});
