import assert from 'node:assert/strict';
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
});
