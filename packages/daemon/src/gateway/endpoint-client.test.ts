import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { after, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import type {
  EndpointRecord,
  EndpointRequest,
} from '@skylarkreach/core/forwarding';
import {
  PlainProtocol,
  sampleEndpoint,
} from '@skylarkreach/core/forwarding/fakes';
import { AnswerLostError, NotSentError } from '@skylarkreach/core/ports';

import { EndpointClient } from './endpoint-client.js';

/** Sizes of bodies around those of the buffers that they pass. */
const BODY_BYTES = [60_000, 70_000, 130_000, 200_000, 400_000, 1_000_000];
/** Time from the last bytes of a body to a reset, in which the reader pauses the connection. */
const RESET_DELAY_MS = 5;
/** Pause of a slow reader between two chunks. */
const PAUSE_MS = 20;

const UNFRAMED = 'the end of its connection';
const SHORT = 'a length that it does not reach';
/** Header that delimits a body of the given size, by name of the framing. */
const HEADERS: Readonly<Record<string, (bytes: number) => string>> = {
  [UNFRAMED]: () => 'connection: close',
  'its length': bytes => `connection: close\r\ncontent-length: ${bytes}`,
  [SHORT]: bytes => `connection: close\r\ncontent-length: ${bytes + 1}`,
};

function requestTo(endpoint: EndpointRecord): EndpointRequest {
  return {
    endpoint,
    method: 'POST',
    target: '/',
    headers: [],
    body: undefined,
    isEndpointUsable: () => true,
  };
}

describe('EndpointClient', () => {
  const client = new EndpointClient(new PlainProtocol());
  const { signal } = new AbortController();

  after(async () => {
    await client.close();
  });

  for (const address of [
    '127.0.0.1:65536',
    '127.0.0.256:80',
    '127.0.0.1:80/path',
    '',
  ]) {
    it(`takes a request to an address that cannot be used for not sent: '${address}'`, async () => {
      const endpoint = sampleEndpoint('odd', { address });
      await assert.rejects(
        client.send(requestTo(endpoint), signal),
        NotSentError,
      );
    });
  }

  it('takes a request to an address where nothing listens for not sent', async () => {
    const endpoint = sampleEndpoint('gone', { address: '127.0.0.1:1' });
    await assert.rejects(
      client.send(requestTo(endpoint), signal),
      NotSentError,
    );
    assert.equal(await client.refusesConnections(endpoint), true);
  });

  // An endpoint that has started again may be cold.
  it('tells of connections that an endpoint refuses or resets, not of those that it closes', async () => {
    const failedIds: string[] = [];
    const observed = new EndpointClient(
      new PlainProtocol(),
      undefined,
      ({ id }) => failedIds.push(id),
    );
    const server = createServer(socket => {
      socket.once('data', data => {
        if (String(data).startsWith('POST /reset')) socket.resetAndDestroy();
        else socket.end();
      });
    });
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const { port } = server.address() as AddressInfo;
    for (const [id, address] of [
      ['refuse', '127.0.0.1:1'],
      ['reset', `127.0.0.1:${port}`],
      ['close', `127.0.0.1:${port}`],
    ] as const) {
      const request = requestTo(sampleEndpoint(id, { address }));
      const sent = observed.send({ ...request, target: `/${id}` }, signal);
      await assert.rejects(sent);
    }
    assert.deepEqual(failedIds, ['refuse', 'reset']);
    await observed.close();
    server.close();
  });

  it('takes a request whose headers cannot be written for not sent', async () => {
    const endpoint = sampleEndpoint('odd', { address: '127.0.0.1:1' });
    const headers = ['Expect-Instance', 'line\nend'];
    const request = { ...requestTo(endpoint), headers };
    await assert.rejects(client.send(request, signal), (error: Error) => {
      assert.match(error.message, /invalid Expect-Instance header/);
      return error instanceof NotSentError;
    });
  });

  for (const coding of ['gzip', 'chunked, gzip', 'xchunked', '']) {
    it(`loses a response with a transfer coding that does not delimit it: '${coding}'`, async () => {
      const server = createServer(socket => {
        socket.once('data', () => {
          const head = `HTTP/1.1 200 OK\r\ntransfer-encoding: ${coding}`;
          socket.end(`${head}\r\n\r\nshort`);
        });
      });
      await once(server.listen(0, '127.0.0.1'), 'listening');
      const { port } = server.address() as AddressInfo;
      const address = `127.0.0.1:${port}`;
      const endpoint = sampleEndpoint(address, { address });
      const request = requestTo(endpoint);
      await assert.rejects(client.send(request, signal), AnswerLostError);
      server.close();
    });
  }

  for (const [framing, header] of Object.entries(HEADERS)) {
    for (const isReset of [false, true]) {
      it(`survives a response that is read slowly and ends with ${isReset ? 'a reset' : 'its connection'}: body delimited by ${framing}`, async () => {
        for (const bytes of BODY_BYTES) {
          const server = createServer(socket => {
            socket.on('error', () => undefined);
            socket.once('data', () => {
              socket.write(`HTTP/1.1 200 OK\r\n${header(bytes)}\r\n\r\n`);
              socket.write(Buffer.alloc(bytes), () => {
                if (!isReset) socket.end();
                else setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
              });
            });
          });
          await once(server.listen(0, '127.0.0.1'), 'listening');
          const { port } = server.address() as AddressInfo;
          const address = `127.0.0.1:${port}`;
          const endpoint = sampleEndpoint(address, { address });
          const received = readSlowly(client, endpoint);
          if (framing === SHORT || (isReset && framing === UNFRAMED))
            await assert.rejects(received);
          else if (isReset) await received.catch(() => undefined);
          else assert.equal(await received, bytes);
          server.close();
        }
      });
    }
  }

  it('takes an endpoint for gone that ends each new connection, and no other', async () => {
    const ways = [
      (socket: Socket) => socket.resetAndDestroy(),
      (socket: Socket) => socket.end(),
      (socket: Socket) => socket,
    ];
    const results: boolean[] = [];
    for (const way of ways) {
      const server = createServer(way);
      await once(server.listen(0, '127.0.0.1'), 'listening');
      const { port } = server.address() as AddressInfo;
      const endpoint = sampleEndpoint('e', { address: `127.0.0.1:${port}` });
      assert.equal(await client.refusesConnections(endpoint), false);
      results.push(await client.dropsConnections(endpoint));
      server.close();
    }
    assert.deepEqual(results, [true, true, false]);
  });

  it('does not count an endpoint as crashed whose address cannot be used', async () => {
    for (const address of ['127.0.0.1:65536', '127.0.0.256:80', '']) {
      const endpoint = sampleEndpoint('odd', { address });
      assert.equal(await client.refusesConnections(endpoint), false);
    }
  });
});

/** Returns the number of bytes of the body. */
async function readSlowly(
  client: EndpointClient,
  endpoint: EndpointRecord,
): Promise<number> {
  const { signal } = new AbortController();
  const { body } = await client.send(requestTo(endpoint), signal);
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    await delay(PAUSE_MS);
  }
  return bytes;
}
