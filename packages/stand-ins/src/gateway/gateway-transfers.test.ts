import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { request } from 'undici';

import { EndpointMode, sampleCall } from '@skylarkreach/platform/stand-ins';

import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';

const DEADLINE_MS = 4_000;
const ENGINE = {
  Slots: 48,
  KvCapacityTokens: 544_981,
  KvTokenBytes: 18_432,
  LinkMbps: 180_000.0,
};

describe('a gateway before engines that transfer prompts', () => {
  let deployment: GatewayDeployment;
  let requests = 0;

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    await deployment.start();
    deployment.writeConfiguration(2, { services: { Engine: ENGINE } });
    for (const id of ['engine-1', 'engine-2', 'engine-3'])
      await deployment.addEndpoint('engines', id);
  });

  afterEach(async () => {
    await deployment.destroy();
  });

  async function start(transfersPrompts: boolean): Promise<RunningGateway> {
    deployment.transfersPrompts = transfersPrompts;
    return deployment.addGateway('daemon-1');
  }

  /** Sends a request whose prompt has a shared part and one of its own. */
  async function stream(
    { addresses }: RunningGateway,
    path = '/drafts/a',
  ): Promise<number> {
    requests += 1;
    const { headers } = sampleCall(`r${requests}`, DEADLINE_MS, true);
    const { body, statusCode } = await request(
      `http://${addresses.callers}${path}`,
      {
        headers: {
          ...headers,
          'prompt-prefix': `shared:13300,own-${requests}:3700`,
          // Fewer tokens than the parts have, so that a crowd stays within its rate limit.
          'token-usage': '2000,20',
          'kv-fetch': '203.0.113.9:80',
        },
      },
    );
    await body.dump();
    return statusCode;
  }

  /** Returns the sources that requests named, in order of their ids. */
  function sources(): readonly (string | undefined)[] {
    const runs = deployment.endpoints.flatMap(each => each.runs);
    return runs
      .sort((left, right) => left.readAtMs - right.readAtMs)
      .map(({ headers }) => headers['kv-fetch']?.toString());
  }

  function assertNoFaults(): void {
    const faults = deployment.endpoints.flatMap(each => each.fetchFaults);
    assert.deepEqual(faults, []);
  }

  it('names another engine that has the prompt, and counts the transfer', async () => {
    const gateway = await start(true);
    assert.equal(await stream(gateway), 200);
    const crowd = Array.from({ length: 24 }, () => stream(gateway));
    assert.deepEqual(new Set(await Promise.all(crowd)), new Set([200]));
    assertNoFaults();
    const named = sources().filter(each => each !== undefined);
    assert.ok(named.length > 0);
    const addresses = deployment.endpoints.map(({ address }) => address);
    for (const source of named) assert.ok(addresses.includes(source), source);
    const url = `http://${gateway.addresses.metrics}/metrics`;
    const { body } = await request(url);
    const text = await body.text();
    const count = /promptTransfers_total\{end="answered"\} (\d+)/.exec(text);
    assert.equal(Number(count?.[1]), named.length);
    assert.match(text, /promptTransfers_expectedTokens_total \d+/);
  });

  for (const { enabled, path, when } of [
    {
      enabled: false,
      path: '/drafts/a',
      when: 'its settings do not enable it',
    },
    {
      enabled: true,
      path: '/answers/a',
      when: 'a request must not be repeated',
    },
  ])
    it(`names none where ${when}, whatever callers name`, async () => {
      const gateway = await start(enabled);
      const crowd = Array.from({ length: 24 }, () => stream(gateway, path));
      await Promise.all(crowd);
      assertNoFaults();
      assert.ok(sources().length > 20);
      assert.ok(sources().every(each => each === undefined));
    });

  // An engine that waits for a source that is gone could otherwise fail each attempt of a request.
  it('names none in the attempt after one that named a source and failed', async () => {
    const gateway = await start(true);
    for (const engine of deployment.endpoints)
      engine.mode = EndpointMode.DropsResponses;
    await stream(gateway);
    const [first, second] = sources();
    assert.notEqual(first, undefined);
    assert.equal(sources().length, 2);
    assert.equal(second, undefined);
  });
});
