import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ResponseReader } from './response-reader.js';

const MAX_UNREAD_BYTES = 8;
const ignore = () => undefined;

describe('ResponseReader', () => {
  function readerOfResponse(
    signal = new AbortController().signal,
    resume = ignore,
  ): ResponseReader {
    const reader = new ResponseReader(signal, MAX_UNREAD_BYTES);
    reader.onConnect(ignore);
    reader.onHeaders(200, [Buffer.from('a'), Buffer.from('b')], resume);
    return reader;
  }

  it('reads chunks together that arrive together, also if it waits for them', async () => {
    const reader = readerOfResponse();
    assert.deepEqual(await reader.head, { status: 200, headers: ['a', 'b'] });
    const waiting = reader.next();
    reader.onData(Buffer.from('one'));
    reader.onData(Buffer.from('two'));
    assert.equal(String((await waiting).value), 'onetwo');
    reader.onData(Buffer.from('three'));
    reader.onComplete();
    assert.equal(String((await reader.next()).value), 'three');
    assert.equal((await reader.next()).done, true);
  });

  it('pauses the connection until what it holds is read', async () => {
    let resumed = 0;
    const reader = readerOfResponse(undefined, () => {
      resumed += 1;
    });
    assert.equal(reader.onData(Buffer.alloc(MAX_UNREAD_BYTES - 1)), true);
    assert.equal(reader.onData(Buffer.alloc(1)), false);
    assert.equal(resumed, 0);
    await reader.next();
    assert.equal(resumed, 1);
  });

  it('loses the unread rest of a response that fails', async () => {
    const reader = readerOfResponse();
    reader.onData(Buffer.from('one'));
    reader.onError(new Error('reset'));
    await assert.rejects(reader.next(), /reset/);
  });

  it('aborts a request that is written after its end, and a response that is left', async () => {
    const aborted = AbortSignal.abort(new Error('ended'));
    const early = new ResponseReader(aborted, MAX_UNREAD_BYTES);
    let reason: Error | undefined;
    early.onConnect(error => {
      reason = error;
      early.onError(error ?? new Error('none'));
    });
    assert.match(String(reason), /ended/);
    await assert.rejects(early.head, /ended/);
    let aborts = 0;
    const left = new ResponseReader(
      new AbortController().signal,
      MAX_UNREAD_BYTES,
    );
    left.onConnect(() => {
      aborts += 1;
    });
    left.onHeaders(200, [], ignore);
    for await (const chunk of leftAfterFirst(left)) assert.ok(chunk);
    assert.equal(aborts, 1);
  });

  it('ignores informational responses', async () => {
    const reader = new ResponseReader(
      new AbortController().signal,
      MAX_UNREAD_BYTES,
    );
    reader.onHeaders(103, [], ignore);
    reader.onHeaders(200, [], ignore);
    assert.equal((await reader.head).status, 200);
  });
});

/** Leaves the iteration after the first chunk. */
async function* leftAfterFirst(
  reader: ResponseReader,
): AsyncGenerator<Uint8Array> {
  reader.onData(Buffer.from('one'));
  for await (const chunk of reader) {
    yield chunk;
    return;
  }
}
