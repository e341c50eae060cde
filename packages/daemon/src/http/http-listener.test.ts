import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { RequestListener } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { SystemClock } from '../adapters/index.js';
import { HttpListener } from './http-listener.js';
import { nextPoll } from './next-poll.js';

const REQUEST = 'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody';

describe('a server that closes', () => {
  const sockets: Socket[] = [];
  let listener: HttpListener;

  async function listen(handler: RequestListener): Promise<number> {
    listener = new HttpListener(
      {
        address: '127.0.0.1:0',
        maxHeaderBytes: 16_384,
        headersTimeoutMs: 10_000,
        clock: new SystemClock(),
      },
      handler,
    );
    return Number((await listener.listen()).split(':')[1]);
  }

  /** Opens a connection; returns it and what is received on it until it ends. */
  async function open(port: number) {
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    await once(socket, 'connect');
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
    });
    socket.on('error', ({ message }) => {
      text += message;
    });
    const received = once(socket, 'close').then(() => text);
    return { socket, received };
  }

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    listener.destroy();
  });

  it('answers requests that lie unread on its connections', async () => {
    const port = await listen((request, response) => {
      request.resume().once('end', () => response.end('answer'));
    });
    const kept = await open(port);
    kept.socket.write(REQUEST);
    await once(kept.socket, 'data');
    const fresh = await open(port);
    kept.socket.write(REQUEST);
    fresh.socket.write(REQUEST);
    await listener.close();
    const last = /^HTTP\/1\.1 200 OK\r\n.*Connection: close\r\n.*answer$/s;
    assert.match(await fresh.received, last);
    const [, ...texts] = (await kept.received).split('HTTP/1.1');
    assert.match(`HTTP/1.1${texts.at(-1) ?? ''}`, last);
    assert.equal(texts.length, 2);
  });

  it('answers a request that arrives in parts, and one behind another', async () => {
    const waiting: (() => void)[] = [];
    const port = await listen((request, response) => {
      waiting.push(() => {
        response.end(`answer to ${request.url ?? ''}`);
      });
    });
    const { received, socket } = await open(port);
    socket.write(REQUEST);
    while (waiting.length === 0) await nextPoll();
    const closed = listener.close();
    socket.write(REQUEST.slice(0, 20).replace('/a', '/b'));
    for (let polls = 0; polls < 10; polls += 1) await nextPoll();
    socket.write(REQUEST.slice(20));
    while (waiting.length === 1) await nextPoll();
    for (const answer of waiting) answer();
    await closed;
    assert.match(await received, /answer to \/a.*answer to \/b/s);
  });

  it('closes at its deadline while callers go on to connect and one does not read its response', async () => {
    const unread = Buffer.alloc(32 * 1_024 * 1_024);
    const port = await listen((request, response) => {
      request.resume().once('end', () => response.end(unread));
    });
    const stuck = connect(port, '127.0.0.1');
    sockets.push(stuck);
    await once(stuck, 'connect');
    stuck.write(REQUEST);
    await once(stuck, 'readable'); // paused from now on
    const reconnecting = setInterval(() => {
      const socket = connect(port, '127.0.0.1').on('error', () => undefined);
      sockets.push(socket);
      socket.write(REQUEST);
    }, 20);
    try {
      await listener.close(Date.now() + 300);
      const { socket } = await open(port).catch(() => ({ socket: undefined }));
      assert.equal(socket, undefined);
    } finally {
      clearInterval(reconnecting);
    }
  });
});
