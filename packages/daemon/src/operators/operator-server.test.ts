import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { RequestMemory } from '@skylarkreach/core/forwarding';
import { noopLog, noopMetrics } from '@skylarkreach/core/ports';

import { SystemClock } from '../adapters/index.js';
import { HttpListener } from '../http/index.js';
import { OperatorServer } from './operator-server.js';

const TOKEN = 'token';
const MEMORY_BYTES = 100_000;

describe('OperatorServer', () => {
  const clock = new SystemClock();
  const operators = new OperatorServer({
    operators: [
      {
        name: 'ada',
        sha256: createHash('sha256').update(TOKEN).digest('hex'),
      },
    ],
    status: () => ({}),
    requestMemory: new RequestMemory(
      { clock, log: noopLog, metrics: noopMetrics },
      MEMORY_BYTES,
    ),
  });
  const listener = new HttpListener(
    {
      address: '127.0.0.1:0',
      maxHeaderBytes: 16_384,
      headersTimeoutMs: 10_000,
      clock,
    },
    (request, response) => void operators.handle(request, response),
  );

  afterEach(() => {
    listener.destroy();
  });

  // The next request on the connection would wait behind the unread rest.
  it('closes the connection of a body that it has no memory for', async () => {
    const address = await listener.listen();
    const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
    await once(socket, 'connect');
    socket.write(
      `GET /v1/status HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${TOKEN}\r\n` +
        `content-length: ${MEMORY_BYTES * 2}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(MEMORY_BYTES + 1));
    const [head] = (await once(socket, 'data')) as [Buffer];
    socket.destroy();
    assert.match(String(head), /^HTTP\/1\.1 503 .*\r\nconnection: close\r\n/is);
  });
});
