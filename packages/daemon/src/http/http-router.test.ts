import assert from 'node:assert/strict';
import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { describe, it } from 'node:test';

import { HttpRouter } from './http-router.js';

describe('HttpRouter', () => {
  const router = new HttpRouter().add('GET', '/{path+}', () =>
    Promise.resolve(),
  );

  function find(url: string) {
    const request = new IncomingMessage(new Socket());
    Object.assign(request, { method: 'GET', url });
    return router.find(request, new ServerResponse(request));
  }

  // The error reached no handler, so that the request had no response and its connection stayed open.
  it('finds no handler for a target that is no URL', () => {
    assert.ok(find('/a') !== undefined);
    for (const url of ['//', 'http://', '//a:b/'])
      assert.equal(find(url), undefined);
  });
});
