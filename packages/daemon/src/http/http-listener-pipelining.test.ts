import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { SystemClock } from '../adapters/index.js';
import { HttpListener } from './http-listener.js';
import { nextPoll } from './next-poll.js';

const REQUEST_COUNT = 3;
const REQUEST = 'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody';

describe('HttpListener with pipelined requests', () => {
  let listener: HttpListener;

  afterEach(() => {
    listener.destroy();
  });

  // The memory of a request is held until its response closes; that of one that waits was never given back.
  it('closes each response once with the connection, also one that waits behind another', async () => {
    const responses: ServerResponse[] = [];
    const closed: number[] = [];
    listener = new HttpListener(
      {
        address: '127.0.0.1:0',
        maxHeaderBytes: 16_384,
        headersTimeoutMs: 10_000,
        clock: new SystemClock(),
      },
      (request, response) => {
        const index = responses.push(response) - 1;
        request.resume();
        response.on('close', () => closed.push(index));
      },
    );
    const address = await listener.listen();
    const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
    await once(socket, 'connect');
    socket.write(REQUEST.repeat(REQUEST_COUNT));
    while (responses.length < REQUEST_COUNT) await nextPoll();
    socket.destroy();
    while (closed.length === 0) await nextPoll();
    for (let polls = 0; polls < 10; polls += 1) await nextPoll();
    assert.deepEqual(
      closed.sort((left, right) => left - right),
      [0, 1, 2],
    );
  });
});
