import assert from 'node:assert/strict';
import { Readable } from 'node:stream';
import { describe, it } from 'node:test';

import type { EndpointRecord } from '@skylarkreach/core/forwarding';
import { ForwardErrorKind } from '@skylarkreach/core/forwarding';
import { PlainProtocol } from '@skylarkreach/core/forwarding/fakes';
import { NotSentError } from '@skylarkreach/core/ports';

import type { MessageSigner } from '../peers/index.js';
import type { RelayClientDependencies } from './relay-client.js';
import { RelayClient } from './relay-client.js';
import { RelayHeader } from './relay-message.js';

const NO_MEMORY_STATUS = 503;
const protocol = new PlainProtocol();
const relayed = {
  request: {
    requestId: 'r1',
    method: 'GET',
    target: '/a',
    headers: [],
    body: undefined,
    metadata: protocol.readRequest(),
    receivedAtMs: 0,
  },
  remainingMs: 5_000,
  lastEventId: undefined,
  excludedIds: [],
};
const peer = { id: 'daemon-2', address: '127.0.0.1:1' } as EndpointRecord;

/** Returns a client whose peer refuses as overloaded, for itself or for an endpoint. */
function clientOf(endpointId: string): RelayClient {
  const notRun = [RelayHeader.NotRun, ForwardErrorKind.Overloaded];
  const response = {
    status: NO_MEMORY_STATUS,
    headers: [...notRun, RelayHeader.Endpoint, endpointId],
    metadata: protocol.readResponse(),
    isFramed: true,
    body: Readable.from([]),
  };
  return new RelayClient({
    upstream: { send: () => Promise.resolve(response) },
    signer: { sign: () => ({}) } as unknown as MessageSigner,
  } as unknown as RelayClientDependencies);
}

describe('RelayClient', () => {
  const { signal } = new AbortController();

  // It counted as the refusal of an endpoint, and took one of the attempts.
  it('takes a refusal without an endpoint, such as one for lack of memory, for one of the peer', async () => {
    const endpoints: string[] = [];
    const sent = clientOf('').send(
      peer,
      relayed,
      id => endpoints.push(id),
      signal,
    );
    await assert.rejects(sent, NotSentError);
    assert.deepEqual(endpoints, []);
  });

  it('takes a refusal that names an endpoint for one of the endpoint', async () => {
    const endpoints: string[] = [];
    const { metadata } = await clientOf('engine-1').send(
      peer,
      relayed,
      id => endpoints.push(id),
      signal,
    );
    assert.equal(metadata.isNotRun, true);
    assert.deepEqual(endpoints, ['engine-1']);
  });
});
