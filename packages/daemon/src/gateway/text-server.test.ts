import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { request } from 'undici';

import { TextServer } from './text-server.js';

describe('TextServer', () => {
  let server: TextServer | undefined;

  afterEach(() => {
    server?.destroy();
  });

  it('answers 500 where a page fails, and goes on serving the others', async () => {
    server = new TextServer({
      '/throws': () => {
        throw new Error('no text');
      },
      '/rejects': () => Promise.reject(new Error('no text')),
      '/page': () => ({ status: 200, text: 'page' }),
    });
    const address = await server.listen('127.0.0.1:0');
    const statuses: number[] = [];
    for (const path of ['/throws', '/rejects', '/page', '/none']) {
      const { body, statusCode } = await request(`http://${address}${path}`);
      await body.dump();
      statuses.push(statusCode);
    }
    assert.deepEqual(statuses, [500, 500, 200, 404]);
  });

  // Whoever held connections open took the descriptors of the process, and probes found none.
  it('answers a probe while many connections are held open', async () => {
    server = new TextServer({ '/page': () => ({ status: 200, text: 'page' }) });
    const address = await server.listen('127.0.0.1:0');
    const port = Number(address.split(':')[1]);
    const held = Array.from({ length: 40 }, () => connect(port, '127.0.0.1'));
    for (const socket of held) socket.on('error', () => undefined);
    await Promise.all(held.map(socket => once(socket, 'connect')));
    const { body, statusCode } = await request(`http://${address}/page`);
    await body.dump();
    assert.equal(statusCode, 200);
    for (const socket of held) socket.destroy();
  });
});
