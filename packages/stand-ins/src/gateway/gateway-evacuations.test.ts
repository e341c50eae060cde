import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { Agent, request } from 'undici';

import {
  SAMPLE_HOST,
  SAMPLE_KEY,
  sampleCall,
  StoreFault,
} from '@skylarkreach/platform/stand-ins';

import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import { waitUntil } from './gateway-fixture.js';

const DEADLINE_MS = 1_500;
const DATA_CENTRES = ['north-1', 'north-2', 'south-1'];
const BURST = 24;
const RUN_MS = 400;

describe('gateways while data centres are evacuated', () => {
  let deployment: GatewayDeployment;
  let agent: Agent;
  let requests = 0;

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    agent = new Agent();
    await deployment.start();
    for (const dataCentre of DATA_CENTRES)
      await deployment.addEndpoint(
        'ledger',
        `ledger-${dataCentre}`,
        {},
        { Zone: dataCentre },
      );
    await deployment.addGateway('daemon-1');
    await deployment.addGateway('daemon-2');
    await waitUntil(() =>
      deployment.gateways.every(
        each => each.gateway.wiring.cluster.size === deployment.gateways.length,
      ),
    );
  });

  afterEach(async () => {
    await agent.destroy();
    await deployment.destroy();
  });

  const order = (dataCentre: string) => {
    deployment.store.state.put(`op/evacuate/${dataCentre}`, '{}');
  };
  const end = (dataCentre: string) => {
    deployment.store.state.delete(`op/evacuate/${dataCentre}`);
  };

  /** Waits until exactly these data centres are evacuated at all daemons. */
  async function waitFor(...dataCentres: readonly string[]): Promise<void> {
    await waitUntil(() =>
      deployment.gateways.every(
        each =>
          each.gateway.wiring.evacuations.dataCentres.join() ===
          dataCentres.join(),
      ),
    );
  }

  async function send({ addresses }: RunningGateway) {
    requests += 1;
    const call = sampleCall(`request-${requests}`, DEADLINE_MS, false);
    const { body, headers, statusCode } = await request(
      `http://${addresses.callers}/lookups/a`,
      {
        headers: { ...call.headers, host: SAMPLE_HOST, key: SAMPLE_KEY },
        dispatcher: agent,
      },
    );
    await body.dump();
    return { statusCode, headers };
  }

  const runsIn = (dataCentre: string) =>
    deployment.endpoints[DATA_CENTRES.indexOf(dataCentre)]?.runs.length ?? 0;

  /** Serves requests at all daemons, many at once so that they go to all endpoints that may get some. */
  async function serveBurst(): Promise<void> {
    for (const running of deployment.gateways) {
      const burst = Array.from({ length: BURST }, () => send(running));
      for (const { statusCode } of await Promise.all(burst))
        assert.equal(statusCode, 200);
    }
  }

  /** Serves requests at all daemons; no endpoint of the data centres may get one. */
  async function assertSpared(...spared: readonly string[]): Promise<void> {
    await waitFor(...spared);
    const before = spared.map(runsIn);
    await serveBurst();
    assert.deepEqual(spared.map(runsIn), before);
  }

  it('send nothing to an evacuated data centre, also where two evacuations overlap, until its key is removed', async () => {
    order('north-2');
    await assertSpared('north-2');
    order('north-1');
    await assertSpared('north-1', 'north-2');
    end('north-2');
    await assertSpared('north-1');
    order('south-1');
    // Now north-2 alone is left, so that its endpoint has to get requests again.
    await assertSpared('north-1', 'south-1');
    end('north-1');
    end('south-1');
    await assertSpared();
  });

  it('keep requests in their home regions, and refuse those that no home can serve', async () => {
    deployment.regions = { 'north-1': 'north', 'south-1': 'south' };
    const restarted = await deployment.addGateway('daemon-3');
    const configure = async (version: number, allowedRegions: string[]) => {
      deployment.writeConfiguration(version, { allowedRegions });
      await waitUntil(() =>
        deployment.gateways.every(
          each => each.gateway.wiring.configuration.version === version,
        ),
      );
    };
    await configure(2, ['south']);
    const before = runsIn('south-1');
    const statuses = await Promise.all(
      Array.from({ length: BURST }, () => send(restarted)),
    );
    assert.ok(statuses.every(({ statusCode }) => statusCode === 200));
    assert.equal(runsIn('south-1') - before, BURST);
    await configure(3, ['east']);
    assert.equal((await send(restarted)).statusCode, 503);
    // Without a table of regions, no data centre is a home.
    const [without] = deployment.gateways;
    assert.ok(without !== undefined);
    assert.equal((await send(without)).statusCode, 503);
  });

  // A build that does not know home regions leaves them out of the configuration that it passes on.
  it('do not apply a configuration of a build that does not know home regions', async () => {
    deployment.regions = { 'north-1': 'north' };
    const { wiring } = (await deployment.addGateway('daemon-3')).gateway;
    const { current } = wiring.configuration;
    const version = 1_000_000;
    const shared = { ...current, version, knowsHomeRegions: undefined };
    const value = JSON.stringify(shared);
    const { store } = wiring.cluster.membership;
    store.apply({ key: 'configuration', version, value });
    assert.equal(wiring.configuration.version, 1);
    const [without] = deployment.gateways;
    await waitUntil(
      () => without?.gateway.wiring.configuration.version === version,
    );
  });

  it('complete the requests that are in flight there', async () => {
    const slow = await deployment.addEndpoint(
      'slow',
      'slow-1',
      { plainRunMs: RUN_MS },
      { Zone: 'north-2' },
    );
    deployment.writeConfiguration(2, { lookupsService: 'slow' });
    const [running] = deployment.gateways;
    assert.ok(running !== undefined);
    const { pool } = running.gateway.wiring;
    await waitUntil(() => pool.endpoints().length > DATA_CENTRES.length);
    const response = send(running);
    await waitUntil(() => slow.runs.length === 1);
    order('north-2');
    await waitFor('north-2');
    assert.equal((await response).statusCode, 200);
  });

  it('keep an evacuation while the store is down, and hand it to a daemon that starts then', async () => {
    order('north-2');
    await waitFor('north-2');
    deployment.store.fault = StoreFault.Unavailable;
    const [running] = deployment.gateways;
    const { peerAddress } = running?.gateway.wiring.cluster.identity ?? {};
    const started = deployment.addGateway('daemon-3');
    await waitUntil(() => deployment.gateways.length === 3);
    const newest = deployment.gateways[2]?.gateway.wiring.cluster.membership;
    await newest?.joinThrough(peerAddress ?? '');
    await started;
    await assertSpared('north-2');
  });

  it('start with an evacuation after all were killed', async () => {
    order('north-2');
    await waitFor('north-2');
    for (const running of [...deployment.gateways])
      await deployment.removeGateway(running);
    await deployment.addGateway('daemon-3');
    await assertSpared('north-2');
  });
});
