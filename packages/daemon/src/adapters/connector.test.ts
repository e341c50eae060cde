import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';
import { describe, it } from 'node:test';

import { createConnector } from './connector.js';

describe('createConnector', () => {
  it('passes on that a connection is refused', async () => {
    const server = createServer();
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    const connect = createConnector({ timeout: 1_000 });
    const target = {
      hostname: '127.0.0.1',
      port: String(port),
      protocol: 'http:',
    };
    const error = await new Promise<NodeJS.ErrnoException | null>(resolve => {
      connect(target, (...result) => {
        resolve(result[0]);
      });
    });
    assert.equal(error?.code, 'ECONNREFUSED');
  });
});
