import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { GatewayFixture, waitUntil } from './gateway-fixture.js';
import { CONTACT_MS, PartitionFixture } from './partition-fixture.js';

/** Version above those that the store hands out. */
const VERSION = 1_000_000_000;

type Json = Record<string, unknown>;

/** Returns a copy in which one field of the first object at the path is missing or has another value. */
function change(value: unknown, path: string, field: unknown): unknown {
  const copy = structuredClone(value);
  const names = path.split('.');
  const last = names.pop() ?? '';
  let target = copy as Json;
  for (const name of names) target = target[name] as Json;
  if (field === undefined) Reflect.deleteProperty(target, last);
  else target[last] = field;
  return copy;
}

describe('a gateway that gets values from a peer of another build', () => {
  let fixture: GatewayFixture;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.stop();
  });

  function held() {
    const [running] = fixture.deployment.gateways;
    assert.ok(running !== undefined);
    const { cluster, configuration, pool } = running.gateway.wiring;
    const { store } = cluster.membership;
    return { configuration: configuration.current, pool, store };
  }

  for (const [path, field] of [
    ['limits', undefined],
    ['limits.maxBodyBytes', undefined],
    ['groups', undefined],
    ['routes.0.targets', undefined],
    ['routes.0.timeoutMs', undefined],
    ['routes.0.type', 'novel'],
    ['workspaces.0.apiKeys', undefined],
  ] as const) {
    it(`keeps its configuration and serves where ${path} cannot be read`, async () => {
      const { configuration, store } = held();
      const next = { ...configuration, version: VERSION };
      const value = JSON.stringify(change(next, path, field));
      store.apply({ key: 'configuration', version: VERSION, value });
      assert.notEqual(held().configuration?.version, VERSION);
      assert.equal(await fixture.statusOf('/lookups/a'), 200);
    });
  }

  it('uses a configuration with a field that it does not know', () => {
    const { configuration, store } = held();
    const next = { ...configuration, version: VERSION };
    const value = JSON.stringify(change(next, 'routes.0.novelty', 1));
    store.apply({ key: 'configuration', version: VERSION, value });
    assert.equal(held().configuration?.version, VERSION);
  });

  for (const [path, field] of [
    ['0.address', undefined],
    ['0.group', undefined],
    ['0.state', 'novel'],
  ] as const) {
    it(`keeps its endpoints and serves where ${path} cannot be read`, async () => {
      const { pool, store } = held();
      const endpoints = change(pool.endpoints(), path, field);
      const value = JSON.stringify({ revision: VERSION, endpoints });
      store.apply({ key: 'endpoints', version: VERSION, value });
      assert.notEqual(pool.revision, VERSION);
      assert.equal(await fixture.statusOf('/lookups/a'), 200);
    });
  }
});

describe('gateways that follow readers of another build', () => {
  let fixture: PartitionFixture;

  beforeEach(async () => {
    fixture = new PartitionFixture();
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.stop();
  });

  /** Makes the readers publish values that nobody else can read. Returns the others. */
  async function changeReaders(key: string) {
    // Watches that began before the roles were known have ended then.
    await delay(CONTACT_MS);
    const { gateways } = fixture;
    const clusterOf = (index: number) =>
      fixture.gateway(index).gateway.wiring.cluster;
    const indices = [...gateways.keys()];
    for (const index of indices) {
      const { membership, readerRole } = clusterOf(index);
      if (!readerRole.isReader()) continue;
      const publish = membership.publishShared.bind(membership);
      membership.publishShared = value =>
        publish(
          value.key === key ? { ...value, value: '{"novel":[]}' } : value,
        );
    }
    const others = indices.filter(
      index => !clusterOf(index).readerRole.isReader(),
    );
    assert.ok(others.length > 0);
    return others.map(index => fixture.gateway(index).gateway.wiring);
  }

  it('read a list of endpoints by themselves that they cannot read from them', async () => {
    const others = await changeReaders('endpoints');
    await fixture.deployment.addEndpoint('ledger', 'ledger-3');
    await waitUntil(() =>
      others.every(({ pool }) =>
        pool.endpoints().some(({ id }) => id === 'ledger-3'),
      ),
    );
  });

  it('read a configuration by themselves that they cannot read from them', async () => {
    const others = await changeReaders('configuration');
    fixture.deployment.writeConfiguration(9);
    await waitUntil(() =>
      others.every(({ configuration }) => configuration.version === 9),
    );
  });

  it('read orders by themselves that they cannot read from them', async () => {
    const others = await changeReaders('rollouts');
    const order = { Service: 'ledger', Target: 'v2', DurationS: 60 };
    fixture.deployment.store.state.put(
      'op/rollout/ledger',
      JSON.stringify(order),
    );
    const knowOrder = () =>
      fixture.gateways
        .flatMap(({ gateway: { wiring } }) =>
          wiring.cluster.hintBoard.freshHints(wiring.clock.nowMs()),
        )
        .filter(({ hints }) => hints.rollouts.length === 1)
        .map(({ hints }) => hints.daemonId);
    await waitUntil(() =>
      others.every(({ cluster }) => knowOrder().includes(cluster.identity.id)),
    );
  });
});
