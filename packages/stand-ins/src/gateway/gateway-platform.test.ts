import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { request } from 'undici';

import { StoreFault } from '@skylarkreach/platform/stand-ins';

import { GatewayBench, until } from './gateway-bench.js';

describe('a daemon at the platform’s entry', () => {
  let bench: GatewayBench;

  beforeEach(async () => {
    bench = new GatewayBench();
    await bench.start();
  });

  afterEach(async () => {
    await bench.stop();
  });

  it('takes a new configuration within the bound and never an older one', async () => {
    const [running] = bench.deployment.gateways;
    const versionOf = () => running?.gateway.wiring.configuration.version;
    bench.deployment.configure(5);
    await until(() => versionOf() === 5);
    bench.deployment.configure(3);
    bench.deployment.store.state.put('op/config', 'not JSON');
    bench.deployment.store.state.put('op/rollout/x', '{}');
    await until(
      () => (bench.deployment.store.calls.get('/-/kv-watch') ?? 0) >= 4,
    );
    assert.equal(versionOf(), 5);
    assert.equal(await bench.statusOf('/lookups/a'), 200);
  });

  it('sends nothing new to a worker that drains, and skips entries it cannot read', async () => {
    const draining = bench.deployment.workers[0];
    const { state } = bench.deployment.store;
    const entry = state.get('servers/ledger-1');
    const value = Buffer.from(entry?.Value ?? '', 'base64').toString('utf8');
    state.put('servers/ledger-1', value.replace('ready', 'draining'));
    state.put('servers/broken', '{"Service":1}');
    const pool = bench.deployment.gateways[0]?.gateway.wiring.pool;
    await until(
      () => pool?.readyEndpoints('ledger', performance.now()).length === 1,
    );
    const before = draining?.runs.length;
    for (let count = 0; count < 8; count += 1) {
      assert.equal(await bench.statusOf(`/lookups/${count}`), 200);
    }
    assert.equal(draining?.runs.length, before);
  });

  it('keeps serving while the store refuses it and hears a peer’s news', async () => {
    const other = await bench.deployment.addGateway('daemon-2');
    const first = bench.deployment.gateways[0];
    const members = first?.gateway.wiring.cluster.membership;
    await until(() => members?.live().length === 1);
    bench.deployment.store.fault = StoreFault.Unavailable;
    assert.equal(await bench.statusOf('/lookups/a'), 200);
    // News that one daemon has read reaches the other by itself.
    const { configuration, cluster } = other.gateway.wiring;
    const next = { ...configuration.current, version: 9 };
    void cluster.membership.publish({
      key: 'configuration',
      version: 9,
      value: JSON.stringify(next),
    });
    await until(() => first?.gateway.wiring.configuration.version === 9);
  });

  it('reports usage once a window and orders endpoints as one holder', async () => {
    assert.equal(await bench.statusOf('/lookups/a'), 200);
    await until(() =>
      bench.deployment.cloud.calls.some(call => call.path === '/scaling'),
    );
    const holders = new Set(
      bench.deployment.cloud.calls.map(call => call.holder),
    );
    assert.deepEqual([...holders], ['daemon-1']);
  });

  it('is not ready once it leaves, and ends the answers in progress', async () => {
    const [running] = bench.deployment.gateways;
    const readiness = running?.addresses.readiness ?? '';
    const ready = await request(`http://${readiness}/ready`);
    await ready.body.dump();
    assert.equal(ready.statusCode, 200);
    const stream = await bench.send('/drafts/a', {
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
    const late = await bench.send('/lookups/late');
    await late.body.dump();
    assert.equal(late.statusCode, 200);
    assert.equal(late.headers.connection, 'close');
    await stopped;
  });
});
