import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { request } from 'undici';

import { StoreFault } from '@skylarkreach/platform/stand-ins';

import { GatewayFixture, waitUntil } from './gateway-fixture.js';

describe('a gateway daemon', () => {
  let fixture: GatewayFixture;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.stop();
  });

  it('applies a newer configuration within 5 s and ignores older and unreadable ones', async () => {
    const [running] = fixture.deployment.gateways;
    const currentVersion = () => running?.gateway.wiring.configuration.version;
    fixture.deployment.writeConfiguration(5);
    await waitUntil(() => currentVersion() === 5);
    fixture.deployment.writeConfiguration(3);
    fixture.deployment.store.state.put('op/config', 'not JSON');
    fixture.deployment.store.state.put('op/rollout/x', '{}');
    await waitUntil(
      () => (fixture.deployment.store.calls.get('/-/kv-watch') ?? 0) >= 4,
    );
    assert.equal(currentVersion(), 5);
    assert.equal(await fixture.statusOf('/lookups/a'), 200);
  });

  it('sends no requests to a draining endpoint and skips unreadable entries', async () => {
    const draining = fixture.deployment.endpoints[0];
    const { state } = fixture.deployment.store;
    const entry = state.get('servers/ledger-1');
    const value = Buffer.from(entry?.Value ?? '', 'base64').toString('utf8');
    state.put('servers/ledger-1', value.replace('ready', 'draining'));
    state.put('servers/broken', '{"Service":1}');
    const pool = fixture.deployment.gateways[0]?.gateway.wiring.pool;
    await waitUntil(
      () => pool?.readyEndpoints('ledger', performance.now()).length === 1,
    );
    const runsBefore = draining?.runs.length;
    for (let count = 0; count < 8; count += 1) {
      assert.equal(await fixture.statusOf(`/lookups/${count}`), 200);
    }
    assert.equal(draining?.runs.length, runsBefore);
  });

  it('sends to the new address of an endpoint that starts again under its id', async () => {
    const { deployment } = fixture;
    const paths = Array.from({ length: 8 }, (_, index) => `/lookups/${index}`);
    await Promise.all(paths.map(path => fixture.statusOf(path)));
    for (const id of ['ledger-1', 'ledger-2']) {
      await deployment.addEndpoint('ledger', id);
    }
    const [first, second, , , ...restarted] = deployment.endpoints;
    first?.destroy();
    second?.destroy();
    const pool = deployment.gateways[0]?.gateway.wiring.pool;
    await waitUntil(
      () =>
        pool
          ?.endpoints()
          .some(({ address }) => address === restarted[1]?.address) === true,
    );
    const response = await fixture.send('/postings/a', {}, { body: '{}' });
    await response.body.dump();
    assert.equal(response.statusCode, 200);
  });

  it('keeps serving during a store outage and applies updates from peers', async () => {
    const other = await fixture.deployment.addGateway('daemon-2');
    const first = fixture.deployment.gateways[0];
    const membership = first?.gateway.wiring.cluster.membership;
    await waitUntil(() => membership?.live().length === 1);
    fixture.deployment.store.fault = StoreFault.Unavailable;
    assert.equal(await fixture.statusOf('/lookups/a'), 200);
    // A configuration published by one daemon reaches the others without the store.
    const { configuration, cluster } = other.gateway.wiring;
    const next = { ...configuration.current, version: 9 };
    void cluster.membership.publish({
      key: 'configuration',
      version: 9,
      value: JSON.stringify(next),
    });
    await waitUntil(() => first?.gateway.wiring.configuration.version === 9);
  });

  it('withdraws an endpoint from its peers that left before this daemon read the list again', async () => {
    const { store } = fixture.deployment;
    const [running] = fixture.deployment.gateways;
    assert.ok(running);
    const { cluster, pool } = running.gateway.wiring;
    const [known] = pool.endpoints();
    assert.ok(known);
    // A peer has read a list with one more endpoint, which has left since.
    const revision = store.state.revision + 1;
    store.state.put('servers/left', 'not an entry');
    const endpoints = [...pool.endpoints(), { ...known, id: 'left' }];
    void cluster.membership.publish({
      key: 'endpoints',
      version: revision,
      value: JSON.stringify({ revision, endpoints }),
    });
    store.state.delete('servers/left');
    await waitUntil(
      () => cluster.membership.store.version('endpoints') > revision,
    );
    assert.deepEqual(
      pool.endpoints().filter(each => each.id === 'left'),
      [],
    );
  });

  it('follows the endpoints and the configuration of a store that was restored from an older copy', async () => {
    const { deployment } = fixture;
    const { store } = deployment;
    const wiring = deployment.gateways[0]?.gateway.wiring;
    const restore = store.state.copy();
    for (let change = 0; change < 20; change += 1) {
      store.state.put('other', String(change));
    }
    await waitUntil(() => (wiring?.pool.revision ?? 0) > 20);
    restore();
    store.state.delete('servers/ledger-1');
    await waitUntil(
      () =>
        wiring?.pool.endpoints().every(each => each.id !== 'ledger-1') === true,
    );
    deployment.writeConfiguration(7);
    await waitUntil(() => wiring?.configuration.version === 7);
  });

  it('reports usage once per window and orders endpoints as the only holder', async () => {
    assert.equal(await fixture.statusOf('/lookups/a'), 200);
    await waitUntil(() =>
      fixture.deployment.cloud.calls.some(call => call.path === '/scaling'),
    );
    const holders = new Set(
      fixture.deployment.cloud.calls.map(call => call.holder),
    );
    assert.deepEqual([...holders], ['daemon-1']);
  });

  it('becomes unready when it stops, and completes the responses in progress', async () => {
    const [running] = fixture.deployment.gateways;
    const readiness = running?.addresses.readiness ?? '';
    const ready = await request(`http://${readiness}/ready`);
    await ready.body.dump();
    assert.equal(ready.statusCode, 200);
    const stream = await fixture.send('/drafts/a', {
      model: 'm',
      'token-usage': '100,20',
      'prompt-prefix': 'aa:60,bb:40',
      'deadline-ms': '8000',
    });
    const stopped = running?.gateway.stop();
    const unready = await request(`http://${readiness}/ready`);
    await unready.body.dump();
    assert.equal(unready.statusCode, 503);
    assert.match(await stream.body.text(), /id: 4/);
    const late = await fixture.send('/lookups/late');
    await late.body.dump();
    assert.equal(late.statusCode, 200);
    assert.equal(late.headers.connection, 'close');
    await stopped;
  });
});
