import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';

import type {
  EndpointRecord,
  EndpointRequest,
} from '@skylarkreach/core/forwarding';
import {
  PlainProtocol,
  sampleEndpoint,
} from '@skylarkreach/core/forwarding/fakes';
import { NotSentError } from '@skylarkreach/core/ports';

import { EndpointClient } from './endpoint-client.js';

function requestTo(endpoint: EndpointRecord): EndpointRequest {
  return {
    endpoint,
    method: 'POST',
    target: '/',
    headers: [],
    body: undefined,
    isEndpointUsable: () => true,
  };
}

describe('EndpointClient', () => {
  const client = new EndpointClient(new PlainProtocol());
  const { signal } = new AbortController();

  after(async () => {
    await client.close();
  });

  for (const address of [
    '127.0.0.1:65536',
    '127.0.0.256:80',
    '127.0.0.1:80/path',
    '',
  ]) {
    it(`takes a request to an address that cannot be used for not sent: '${address}'`, async () => {
      const endpoint = sampleEndpoint('odd', { address });
      await assert.rejects(
        client.send(requestTo(endpoint), signal),
        NotSentError,
      );
    });
  }

  it('takes a request whose headers cannot be written for not sent', async () => {
    const endpoint = sampleEndpoint('odd', { address: '127.0.0.1:1' });
    const headers = ['Expect-Instance', 'line\nend'];
    const request = { ...requestTo(endpoint), headers };
    await assert.rejects(client.send(request, signal), (error: Error) => {
      assert.match(error.message, /invalid Expect-Instance header/);
      return error instanceof NotSentError;
    });
  });

  it('does not count an endpoint as crashed whose address cannot be used', async () => {
    for (const address of ['127.0.0.1:65536', '127.0.0.256:80', '']) {
      const endpoint = sampleEndpoint('odd', { address });
      assert.equal(await client.refusesConnections(endpoint), false);
    }
  });
});
