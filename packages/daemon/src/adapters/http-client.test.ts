import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';

import { AnswerLostError } from '@skylarkreach/core/ports';

import { HttpClient } from './http-client.js';
import { SystemClock } from './system-clock.js';

const ANSWER_MS = 20;
const PATIENCE_MS = 300;
const LONG_MS = 10_000;

describe('HttpClient', () => {
  const clock = new SystemClock();
  const http = new HttpClient(clock);
  const silent = new Set<Socket>();
  const open = new Set<Socket>();
  let isCut = false;
  const server = createServer(({ socket }, response) => {
    open.add(socket);
    if (isCut) silent.add(socket);
    if (silent.has(socket)) return;
    setTimeout(() => response.end('{}'), ANSWER_MS);
  });
  let address = '';

  const call = (timeMs: number) =>
    http.exchange({
      address,
      method: 'GET',
      path: '/',
      deadlineAtMs: clock.nowMs() + timeMs,
    });

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

  it('dials anew after a failed call, as other open connections may be silent too', async () => {
    await Promise.all([call(LONG_MS), call(LONG_MS), call(LONG_MS)]);
    assert.equal(open.size, 3);
    isCut = true;
    for (const socket of open) silent.add(socket);
    await assert.rejects(call(PATIENCE_MS), AnswerLostError);
    isCut = false;
    assert.equal((await call(LONG_MS)).status, 200);
  });

  it('shares connections again after a call that succeeded', async () => {
    open.clear();
    silent.clear();
    const calls = 6;
    for (let count = 0; count < calls; count += 1) await call(LONG_MS);
    assert.ok(open.size < calls / 2, `${open.size} connections`);
  });
});
