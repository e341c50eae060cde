import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage, Server } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { noopLog, noopMetrics } from '@skylarkreach/core/ports';

import { SystemClock } from '../adapters/index.js';
import { ConnectionLimit } from './connection-limit.js';
import { Connections } from './connections.js';
import { listenOn } from './http-listener.js';
import { closeIdleConnections } from './idle-connections.js';
import { nextPoll } from './next-poll.js';

const MAX_CONNECTIONS = 4;
const MAX_PARTIAL_HEAD_BYTES = 20_000;
const UNREAD_TIMEOUT_MS = 300;
/** Interval between the checks of the limit. */
const CHECK_INTERVAL_MS = 250;
const PARTIAL_HEAD = 'GET / HTTP/1.1\r\nhost: a\r\nb: ';
const LARGE_BYTES = 32 * 1_024 * 1_024; // more than the buffers of a connection

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

describe('ConnectionLimit', () => {
  let server: Server;
  let sockets: Socket[];
  let port: number;
  let closed: string[];

  beforeEach(async () => {
    sockets = [];
    closed = [];
    const clock = new SystemClock();
    // Other paths get no response.
    server = createServer((request, response) => {
      if (request.url === '/ok') response.end('ok');
      if (request.url === '/body') request.resume();
      if (request.url === '/drained')
        request.resume().once('end', () => response.end('ok'));
      if (request.url === '/large') response.end(Buffer.alloc(LARGE_BYTES));
    });
    const connections = new Connections(server, clock);
    server.on('request', ({ socket }, response) => {
      connections.track(response, connections.of(socket));
    });
    const metrics = {
      ...noopMetrics,
      increment: (_name: string, _count?: number, tags?: object) =>
        closed.push(Object.values(tags ?? {}).join(' ')),
    };
    new ConnectionLimit(server, connections, {
      listener: 'test',
      maxConnections: MAX_CONNECTIONS,
      maxPartialHeadBytes: MAX_PARTIAL_HEAD_BYTES,
      unreadTimeoutMs: () => UNREAD_TIMEOUT_MS,
      log: noopLog,
      metrics,
    });
    closeIdleConnections(server, connections, clock);
    port = Number((await listenOn(server, '127.0.0.1:0')).split(':')[1]);
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
    server.closeAllConnections();
  });

  async function open(text = ''): Promise<Socket> {
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    socket.on('error', () => undefined); // a reset is one way to close
    await once(socket, 'connect');
    if (text !== '') socket.write(text);
    return socket;
  }

  const get = (path: string) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;

  // Connections without a request took all descriptors of a process.
  it('closes the oldest connection without a request for a new one', async () => {
    const busy = await open(get('/ok'));
    await once(busy, 'data');
    const unused = await open();
    await open();
    await open();
    const ended = once(unused, 'close');
    unused.resume();
    const added = await open(get('/ok'));
    await Promise.all([ended, once(added, 'data')]);
    assert.deepEqual(closed, ['test connections']);
    assert.ok(!busy.destroyed);
  });

  it('closes a new connection if the others carry requests that may have run', async () => {
    for (let number = 0; number < MAX_CONNECTIONS; number += 1) {
      const requested = once(server, 'request');
      await open(get('/silent'));
      await requested;
    }
    const added = await open();
    added.resume();
    await once(added, 'close');
    assert.equal(sockets.filter(({ destroyed }) => destroyed).length, 1);
  });

  // Bodies held open would shut out all other callers until their timeout.
  it('closes the oldest connection whose body is still being read for a new one', async () => {
    const head =
      'POST /silent HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n';
    for (let number = 0; number < MAX_CONNECTIONS; number += 1) {
      const requested = once(server, 'request');
      await open(number === 1 ? head : get('/silent'));
      await requested;
    }
    const added = await open(get('/ok'));
    await once(added, 'data');
    assert.deepEqual(closed, ['test connections']);
  });

  it('closes a connection with too many requests that wait for their responses', async () => {
    const socket = await open(get('/silent').repeat(40));
    socket.resume();
    await once(socket, 'close');
    assert.deepEqual(closed, ['test pipelined']);
  });

  it('closes the connections with the largest heads read in part', async () => {
    const head = 'GET / HTTP/1.1\r\nhost: a\r\nb: ';
    const large = await open(head + 'x'.repeat(15_000));
    const small = await open(head + 'x'.repeat(9_000));
    large.resume();
    await once(large, 'close');
    assert.deepEqual(closed, ['test partialHeads']);
    assert.ok(!small.destroyed);
  });

  // 859 connections that had each sent a complete request held 51 MB of heads.
  for (const [name, request] of [
    ['that waits for its response', get('/silent')],
    ['that was answered', get('/ok')],
    [
      'with a chunked body',
      'POST /body HTTP/1.1\r\nhost:a\r\ntransfer-encoding:chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n',
    ],
  ] as const) {
    it(`closes the connections with the largest heads read in part behind a request ${name}`, async () => {
      const large = await open(request + PARTIAL_HEAD + 'x'.repeat(15_000));
      const small = await open(request + PARTIAL_HEAD + 'x'.repeat(9_000));
      large.resume();
      await once(large, 'close');
      assert.deepEqual(closed, ['test partialHeads']);
      assert.ok(!small.destroyed);
    });
  }

  // The bytes of a body were taken for a head while its request was in progress.
  it('keeps connections whose bodies, and requests behind them, were read whole', async () => {
    const size = 2 * MAX_PARTIAL_HEAD_BYTES;
    const head = 'POST /body HTTP/1.1\r\nhost: a\r\n';
    const framed = `${head}content-length: ${size}\r\n\r\n${'x'.repeat(size)}`;
    const chunk = `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
    const chunked = `${head}transfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`;
    for (const text of [framed, chunked]) await open(text + get('/silent'));
    const deadlineAtMs = Date.now() + 3 * CHECK_INTERVAL_MS;
    while (Date.now() < deadlineAtMs) await nextPoll();
    assert.deepEqual(closed, []);
  });

  // Each idle connection kept its last request, with the body that was read, outside the limits of memory.
  it('keeps no request that was answered', async () => {
    const requests: WeakRef<IncomingMessage>[] = [];
    server.on('request', request => requests.push(new WeakRef(request)));
    const socket = await open(
      'POST /drained HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx',
    );
    await once(socket, 'data');
    const deadlineAtMs = Date.now() + 4 * CHECK_INTERVAL_MS;
    const isKept = () => requests.some(each => each.deref() !== undefined);
    do {
      await delay(1);
      collectGarbage();
    } while (isKept() && Date.now() < deadlineAtMs);
    assert.equal(requests.length, 1);
    assert.ok(!socket.destroyed && !isKept());
  });

  it('closes a connection whose response is not read, and none that is silent', async () => {
    const silent = await open(get('/silent'));
    const unread = await open(get('/large'));
    unread.pause();
    while (closed.length === 0) await nextPoll();
    assert.deepEqual(closed, ['test unread']);
    assert.ok(!silent.destroyed);
  });

  // Each byte that came restarted the timeout, so that the response was kept for as long as the caller liked.
  it('closes a connection whose caller sends bytes but does not read its response', async () => {
    const unread = await open(`${get('/large')}${PARTIAL_HEAD}`);
    unread.pause();
    const timer = setInterval(() => unread.write('x'), UNREAD_TIMEOUT_MS / 4);
    const deadlineAtMs = Date.now() + 20 * UNREAD_TIMEOUT_MS;
    while (closed.length === 0 && Date.now() < deadlineAtMs) await nextPoll();
    clearInterval(timer);
    assert.deepEqual(closed, ['test unread']);
  });

  it('keeps the connection of a caller that reads slowly and sends bytes', async () => {
    const slow = await open(`${get('/large')}${PARTIAL_HEAD}`);
    let count = 0;
    slow.on('data', () => {
      count += 1;
      if (count % 4 === 0) slow.pause();
    });
    const timer = setInterval(() => {
      slow.write('x');
      slow.resume();
    }, 10);
    await new Promise(resolve => setTimeout(resolve, 4 * UNREAD_TIMEOUT_MS));
    clearInterval(timer);
    assert.ok(count > 0);
    assert.deepEqual(closed, []);
  });
});
