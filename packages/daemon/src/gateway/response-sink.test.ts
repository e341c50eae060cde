import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { ResponseSink } from './response-sink.js';

describe('ResponseSink', () => {
  const server = createServer();

  beforeEach(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    server.removeAllListeners('request');
    server.close();
  });

  /** Writes one chunk and destroys the response once the caller has it; returns what the caller receives, and what its connection ends with. */
  async function destroyedResponse(
    httpVersion: string,
  ): Promise<{ text: string; end: string }> {
    server.once('request', (_request, response: ServerResponse) => {
      const sink = new ResponseSink(response, () => false);
      sink.begin(200, []);
      void sink.write(Buffer.from('part'));
      received.then(
        () => {
          sink.destroy();
        },
        () => undefined,
      );
    });
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    const received = once(socket, 'data');
    socket.write(`GET / HTTP/${httpVersion}\r\nhost: a\r\n\r\n`);
    return new Promise(resolve => {
      let text = '';
      socket.on('data', chunk => {
        text += chunk.toString('latin1');
      });
      socket.on('end', () => {
        resolve({ text, end: 'end' });
      });
      socket.on('error', (error: NodeJS.ErrnoException) => {
        resolve({ text, end: error.code ?? '' });
      });
    });
  }

  it('does not end a destroyed response without a length like a complete one', async () => {
    const { text } = await destroyedResponse('1.1');
    assert.match(text, /\r\ntransfer-encoding: chunked\r\n/i);
    assert.match(text, /\r\n\r\n4\r\npart\r\n$/);
  });

  it('does not end a destroyed response to an HTTP/1.0 caller like a complete one', async () => {
    assert.equal((await destroyedResponse('1.0')).end, 'ECONNRESET');
  });

  /** Answers one request with the given parts; returns its body as the caller decodes it, and how often the connection was written to for each part. */
  async function sentParts(
    parts: readonly Buffer[],
    head: readonly string[] = [],
  ): Promise<{ body: Buffer; writes: readonly number[] }> {
    const writes: number[] = [];
    server.once('request', (_request, response: ServerResponse) => {
      const { socket } = response;
      assert.ok(socket);
      let count = 0;
      const write = socket.write.bind(socket) as (
        ...args: unknown[]
      ) => boolean;
      socket.write = (...args: unknown[]) => {
        count += 1;
        return write(...args);
      };
      const sink = new ResponseSink(response, () => false);
      sink.begin(200, head);
      for (const part of parts) {
        count = 0;
        void sink.write(part);
        writes.push(count);
      }
      sink.end();
    });
    const { port } = server.address() as AddressInfo;
    const response = await fetch(`http://127.0.0.1:${port}/`);
    return { body: Buffer.from(await response.arrayBuffer()), writes };
  }

  it('sends data of any size unchanged, with and without chunks', async () => {
    const parts = [0, 1, 15, 16, 16_384, 16_385, 100_000].map(size =>
      Buffer.alloc(size, `${size}-`),
    );
    const all = Buffer.concat(parts);
    assert.deepEqual((await sentParts(parts)).body, all);
    const length = ['content-length', String(all.length)];
    assert.deepEqual((await sentParts(parts, length)).body, all);
    assert.deepEqual((await sentParts([])).body, Buffer.alloc(0));
  });

  it('writes an event to the connection at once, with its framing', async () => {
    const event = Buffer.from('id: 1\ndata: a\n\n');
    const { writes } = await sentParts([event, event, event]);
    // The first write is that of the head.
    assert.deepEqual(writes, [2, 1, 1]);
  });
});
