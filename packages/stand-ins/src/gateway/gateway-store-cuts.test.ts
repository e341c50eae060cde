import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { LinkFault, LinkProxy } from '../process-soak/index.js';
import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import { waitUntil } from './gateway-fixture.js';

const GATEWAYS = 6;
const CONFIGURATION_MS = 4_000;

/** Gateway with its own link to the store. */
interface LinkedGateway extends RunningGateway {
  readonly link: LinkProxy;
}

describe('gateways whose readers of the store are cut off in silence', () => {
  let deployment: GatewayDeployment;
  let gateways: LinkedGateway[];

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    deployment.bounds = { configurationMs: CONFIGURATION_MS };
    gateways = [];
    await deployment.start();
    await deployment.addEndpoint('ledger', 'ledger-1');
    const { storeAddress } = deployment;
    for (let number = 1; number <= GATEWAYS; number += 1) {
      const { address, proxy } = await LinkProxy.start(storeAddress);
      deployment.storeAddress = address;
      const running = await deployment.addGateway(`daemon-${number}`);
      gateways.push({ ...running, link: proxy });
    }
    await waitUntil(() =>
      gateways.every(({ gateway }) => gateway.wiring.cluster.size === GATEWAYS),
    );
  });

  afterEach(async () => {
    await deployment.destroy();
    for (const { link } of gateways) {
      link.fault = LinkFault.None; // a silent link checks for its end
      link.destroy();
    }
  });

  const versionOf = ({ gateway }: RunningGateway) =>
    gateway.wiring.configuration.version;

  /** Cuts the links of all readers while their watches are young, and returns the other gateways. */
  async function cutReaders(): Promise<readonly LinkedGateway[]> {
    deployment.writeConfiguration(2);
    await waitUntil(() => gateways.every(each => versionOf(each) === 2));
    await delay(100);
    const isReader = ({ gateway }: RunningGateway) =>
      gateway.wiring.cluster.readerRole.isReader();
    const readers = gateways.filter(isReader);
    assert.ok(readers.length < GATEWAYS);
    for (const { link } of readers) link.fault = LinkFault.Silent;
    return gateways.filter(each => !readers.includes(each));
  }

  // Waiting watches of the readers confirmed the state for all, which kept it beyond the bound.
  it('apply a configuration within its bound at the others', async () => {
    const others = await cutReaders();
    deployment.writeConfiguration(3);
    await delay(CONFIGURATION_MS);
    assert.deepEqual(
      others.map(versionOf),
      others.map(() => 3),
    );
  });

  it('apply an order within its bound at the others', async () => {
    const others = await cutReaders();
    deployment.store.orderRollout('ledger', 'v2', 60);
    await delay(CONFIGURATION_MS);
    const versions = others.map(({ gateway }) =>
      gateway.wiring.cluster.membership.store.version('rollouts'),
    );
    assert.ok(versions.every(version => version > 0));
  });
});
