import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { buildConnector } from 'undici';

import { RequestWithheldError } from '../adapters/index.js';
import { nextPoll } from '../http/index.js';
import type { RequestContext } from './metered-client.js';
import { EndpointWithdrawnError, MeteredClient } from './metered-client.js';

describe('MeteredClient', () => {
  let requestCount: number;
  let answer: (response: ServerResponse) => void;
  let openConnection: () => void;
  /** Called by the poll in which a connection is established. */
  let onConnected: () => void;
  let client: MeteredClient;
  let last: { context?: RequestContext | undefined };
  const contexts = new WeakMap<object, RequestContext>();
  const server = createServer(
    (_request: IncomingMessage, response: ServerResponse) => {
      requestCount += 1;
      answer(response);
    },
  );

  beforeEach(async () => {
    requestCount = 0;
    onConnected = () => undefined;
    answer = response => response.end('answer');
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const connect = buildConnector({});
    const opened = new Promise<void>(resolve => {
      openConnection = resolve;
    });
    const connectLate: buildConnector.connector = (options, callback) => {
      void opened.then(() => {
        connect(options, (...result) => {
          setImmediate(() => {
            onConnected();
          });
          callback(...result);
        });
      });
    };
    const origin = `http://127.0.0.1:${port}`;
    last = {};
    client = new MeteredClient(
      origin,
      {},
      connectLate,
      contexts,
      undefined,
      last,
    );
  });

  afterEach(async () => {
    await client.destroy();
    server.close();
  });

  it('does not send a request whose end is read after its connection', async () => {
    const caller = new AbortController();
    onConnected = () => {
      caller.abort();
    };
    openConnection();
    const { signal } = caller;
    const response = client.request({ path: '/', method: 'GET', signal });
    await assert.rejects(response, { name: 'AbortError' });
    for (let polls = 0; polls < 10; polls += 1) await nextPoll();
    assert.equal(requestCount, 0);
  });

  it('does not send a request that waited for a connection to an endpoint that has left meanwhile', async () => {
    let isEndpointUsable = true;
    const options = { path: '/', method: 'GET' } as const;
    contexts.set(options, {
      isEndpointUsable: () => isEndpointUsable,
      mayWrite: () => true,
    });
    const response = client.request(options);
    isEndpointUsable = false;
    openConnection();
    await assert.rejects(response, EndpointWithdrawnError);
    assert.equal(requestCount, 0);
  });

  // A daemon that was paused would send at once what it had chosen an endpoint for long before.
  it('does not write a request that may no longer be written, on a new or a kept connection', async () => {
    openConnection();
    const send = (mayWrite: boolean) => {
      const options = { path: '/', method: 'GET' } as const;
      contexts.set(options, {
        isEndpointUsable: () => true,
        mayWrite: () => mayWrite,
      });
      return client.request(options);
    };
    await assert.rejects(send(false), RequestWithheldError);
    await (await send(true)).body.dump();
    await assert.rejects(send(false), RequestWithheldError);
    assert.equal(requestCount, 1);
  });

  // A client stays in its pool for good, and a context refers to the request with its body.
  it('retains no context of a request that has ended', async () => {
    openConnection();
    for (const mayWrite of [true, false]) {
      const options = { path: '/', method: 'GET' } as const;
      contexts.set(options, {
        isEndpointUsable: () => true,
        mayWrite: () => mayWrite,
      });
      const response = client.request(options);
      assert.notEqual(last.context, undefined);
      if (mayWrite) await (await response).body.dump();
      else await assert.rejects(response, RequestWithheldError);
      assert.equal(last.context, undefined);
    }
  });

  // Chunks of one byte kept the daemon busy beyond the limits of other requests.
  it('breaks off a body of many small chunks, and reads one of fewer or larger ones', async () => {
    openConnection();
    const receive = async (chunks: number, bytes: number) => {
      answer = response => {
        response.writeHead(200);
        for (let count = 0; count < chunks; count += 1)
          response.write('a'.repeat(bytes));
        response.end();
      };
      const { body } = await client.request({ path: '/', method: 'GET' });
      return (await body.text()).length;
    };
    await assert.rejects(receive(20_000, 1), /chunks/);
    assert.equal(await receive(1_500, 1), 1_500);
    assert.equal(await receive(4_000, 200), 800_000);
  });

  it('sends a request whose endpoint is usable when the connection is established', async () => {
    const options = { path: '/', method: 'GET' } as const;
    contexts.set(options, {
      isEndpointUsable: () => true,
      mayWrite: () => true,
    });
    const response = client.request(options);
    openConnection();
    const { body, statusCode } = await response;
    assert.equal(statusCode, 200);
    assert.equal(await body.text(), 'answer');
  });
});
