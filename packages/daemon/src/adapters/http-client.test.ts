import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createServer as createTcpServer } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { AnswerLostError } from '@skylarkreach/core/ports';

import { HttpClient } from './http-client.js';
import { SystemClock } from './system-clock.js';

const RESPONSE_DELAY_MS = 20;
const SHORT_TIMEOUT_MS = 300;
const LONG_TIMEOUT_MS = 10_000;

describe('HttpClient', () => {
  const clock = new SystemClock();
  const http = new HttpClient(clock);
  const unresponsiveSockets = new Set<Socket>();
  const openSockets = new Set<Socket>();
  let ignoresNewRequests = false;
  let sendsPartialBodies = false;
  const server = createServer(({ socket }, response) => {
    openSockets.add(socket);
    if (ignoresNewRequests) unresponsiveSockets.add(socket);
    if (unresponsiveSockets.has(socket)) return;
    if (sendsPartialBodies) {
      response.writeHead(200, { 'content-length': 100 }).write('{');
      return;
    }
    setTimeout(() => response.end('{}'), RESPONSE_DELAY_MS);
  });
  let address = '';

  const callOptions = (timeoutMs: number) => ({
    address,
    method: 'GET' as const,
    path: '/',
    deadlineAtMs: clock.nowMs() + timeoutMs,
  });
  const call = (timeoutMs: number) => http.exchange(callOptions(timeoutMs));

  before(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const bound = server.address();
    assert.ok(typeof bound === 'object' && bound !== null);
    address = `127.0.0.1:${bound.port}`;
  });
  after(async () => {
    await http.close();
    server.closeAllConnections();
    server.close();
  });

  it('uses a new connection after a failed call, as other pooled connections may be unresponsive too', async () => {
    await Promise.all([
      call(LONG_TIMEOUT_MS),
      call(LONG_TIMEOUT_MS),
      call(LONG_TIMEOUT_MS),
    ]);
    assert.equal(openSockets.size, 3);
    ignoresNewRequests = true;
    for (const socket of openSockets) unresponsiveSockets.add(socket);
    await assert.rejects(call(SHORT_TIMEOUT_MS), AnswerLostError);
    ignoresNewRequests = false;
    assert.equal((await call(LONG_TIMEOUT_MS)).status, 200);
  });

  it('reuses connections again after a successful call', async () => {
    openSockets.clear();
    unresponsiveSockets.clear();
    const callCount = 6;
    for (let index = 0; index < callCount; index += 1)
      await call(LONG_TIMEOUT_MS);
    assert.ok(
      openSockets.size < callCount / 2,
      `${openSockets.size} connections`,
    );
  });

  for (const bytes of [200_000, 400_000, 1_000_000]) {
    it(`reads a response slowly whose connection ends before it is read: ${bytes} bytes`, async () => {
      const closing = createTcpServer(socket => {
        socket.once('data', () => {
          socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n');
          socket.write(Buffer.alloc(bytes), () => socket.end());
        });
      });
      await once(closing.listen(0, '127.0.0.1'), 'listening');
      const { port } = closing.address() as AddressInfo;
      const { body } = await http.send({
        ...callOptions(LONG_TIMEOUT_MS),
        address: `127.0.0.1:${port}`,
      });
      let received = 0;
      for await (const chunk of body) {
        received += (chunk as Uint8Array).length;
        await delay(RESPONSE_DELAY_MS);
      }
      assert.equal(received, bytes);
      closing.close();
    });
  }

  it('times out after a garbage collection too, before and within a response', async () => {
    setFlagsFromString('--expose-gc');
    const collectGarbage = runInNewContext('gc') as () => void;
    for (const [isSilent, partialBody] of [
      [true, false],
      [false, true],
    ]) {
      ignoresNewRequests = isSilent === true;
      sendsPartialBodies = partialBody === true;
      const freshCall = {
        ...callOptions(SHORT_TIMEOUT_MS),
        freshConnection: true,
      };
      const failure = assert.rejects(http.exchange(freshCall), AnswerLostError);
      await delay(SHORT_TIMEOUT_MS / 2);
      collectGarbage();
      const timeout = delay(LONG_TIMEOUT_MS / 5, 'the call goes on', {
        ref: true,
      });
      assert.equal(await Promise.race([failure, timeout]), undefined);
    }
    ignoresNewRequests = false;
    sendsPartialBodies = false;
  });
});
