import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import type { EndpointServer } from '@skylarkreach/platform/stand-ins';
import {
  EndpointMode,
  sampleCall,
  sampleConfiguration,
} from '@skylarkreach/platform/stand-ins';

import { GatewayFixture, rawRequest, waitUntil } from './gateway-fixture.js';

const RUN_MS = 600;
const STALL_MS = 300;
const DEADLINE_MS = 4_000;

/** Changes of the configuration that take away what a request to `/postings/` needs. */
const REMOVALS: readonly [string, object, number][] = [
  ['route', { Routes: [] }, 404],
  ['key', { Tenants: [] }, 401],
  ['group', { Services: [] }, 200],
];

function posting(id: string): string {
  const call = sampleCall(id, DEADLINE_MS, false);
  return rawRequest({ ...call, path: `/postings/${id}` });
}

describe('a request in progress while a change takes away what it needs', () => {
  let fixture: GatewayFixture;
  let ledger: EndpointServer;
  let socket: Socket;
  let received = '';

  const statuses = () =>
    Array.from(received.matchAll(/HTTP\/1\.1 (\d+)/g), ([, status]) =>
      Number(status),
    );
  const runIds = () => fixture.runs().map(run => run.requestId);

  beforeEach(async () => {
    fixture = new GatewayFixture(async deployment => {
      deployment.writeConfiguration(1, { plainTimeoutMs: DEADLINE_MS });
      ledger = await deployment.addEndpoint('ledger', 'ledger-1', {
        plainRunMs: RUN_MS,
      });
    });
    await fixture.start();
    const [host = '', port] = fixture.callersAddress.split(':');
    socket = connect(Number(port), host);
    received = '';
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
    });
  });

  afterEach(async () => {
    socket.destroy();
    await fixture.stop();
  });

  /** Puts a configuration into force that differs in some of its fields. */
  async function change(fields: object): Promise<void> {
    const { gateways, store } = fixture.deployment;
    const next = JSON.parse(sampleConfiguration(2)) as object;
    store.state.put('op/config', JSON.stringify({ ...next, ...fields }));
    const configuration = gateways[0]?.gateway.wiring.configuration;
    await waitUntil(() => configuration?.version === 2);
  }

  for (const [what, fields, status] of REMOVALS) {
    it(`gets an answer if its ${what} is removed before the rest of its body comes`, async () => {
      const head = posting('p1').replace('GET', 'POST').slice(0, -2);
      socket.write(`${head}content-length: 4\r\n\r\nab`);
      await change(fields);
      socket.write('cd');
      await waitUntil(() => statuses().length === 1);
      assert.deepEqual(statuses(), [status]);
      socket.write(posting('p2'));
      await waitUntil(() => statuses().length === 2);
    });

    it(`gets an answer if its ${what} is removed while it waits for its turn on its connection`, async () => {
      socket.write(posting('p1') + posting('p2'));
      await waitUntil(() => runIds().length === 1);
      await change(fields);
      await waitUntil(() => statuses().length === 2);
      assert.deepEqual(statuses(), [200, status]);
    });

    it(`gets the answer of its endpoint if its ${what} is removed meanwhile`, async () => {
      socket.write(posting('p1'));
      await waitUntil(() => runIds().length === 1);
      await change(fields);
      await waitUntil(() => statuses().length === 1);
      assert.deepEqual(statuses(), [200]);
    });
  }

  it('gets the answer of its endpoint if its timeout is shortened meanwhile', async () => {
    socket.write(posting('p1'));
    await waitUntil(() => runIds().length === 1);
    const options = { plainTimeoutMs: 100, idleTimeoutMs: 100 };
    await change(JSON.parse(sampleConfiguration(2, options)) as object);
    await waitUntil(() => statuses().length === 1);
    assert.deepEqual(statuses(), [200]);
  });

  it('gets the answer of its endpoint if that id gets another address meanwhile', async () => {
    const { deployment } = fixture;
    socket.write(posting('p1'));
    await waitUntil(() => runIds().length === 1);
    const next = await deployment.addEndpoint('ledger', 'ledger-1');
    const pool = deployment.gateways[0]?.gateway.wiring.pool;
    await waitUntil(() => pool?.endpoints()[0]?.address === next.address);
    socket.write(posting('p2'));
    await waitUntil(() => statuses().length === 2);
    assert.deepEqual(statuses(), [200, 200]);
    assert.deepEqual(
      [ledger.runs, next.runs].map(runs => runs.length),
      [1, 1],
    );
  });

  it('goes over a new connection if its endpoint closed the kept one while the daemon was held up', async () => {
    socket.write(posting('p1'));
    await waitUntil(() => statuses().length === 1);
    ledger.closeIdleConnections();
    socket.write(posting('p2'));
    const endsAtMs = performance.now() + STALL_MS;
    while (performance.now() < endsAtMs);
    await waitUntil(() => statuses().length === 2);
    assert.deepEqual(statuses(), [200, 200]);
    assert.deepEqual(runIds(), ['p1', 'p2']);
  });

  it('is told that it may have run, and runs once, if its endpoint closes the connection under it', async () => {
    await fixture.deployment.addEndpoint('ledger', 'ledger-2');
    socket.write(posting('p1'));
    await waitUntil(() => statuses().length === 1);
    for (const each of fixture.deployment.endpoints)
      each.mode = EndpointMode.DropsResponses;
    socket.write(posting('p2'));
    await waitUntil(() => statuses().length === 2);
    assert.deepEqual(statuses(), [200, 502]);
    assert.deepEqual(runIds(), ['p1', 'p2']);
  });
});
