import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import { EndpointMode, sampleCall } from '@skylarkreach/platform/stand-ins';

import { GatewayDeployment } from './gateway-deployment.js';

const GATEWAYS = 2;
const DEADLINE_MS = 4_000;
/** Time in which hints reach the other daemons. */
const HINTS_MS = 1_500;

describe('gateways whose endpoints say that they are leaving', () => {
  let deployment: GatewayDeployment;
  let requestCount: number;

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    requestCount = 0;
    await deployment.start();
  });

  afterEach(async () => {
    await deployment.destroy();
  });

  async function startGateways(): Promise<void> {
    for (let number = 1; number <= GATEWAYS; number += 1) {
      await deployment.addGateway(`daemon-${number}`);
    }
  }

  async function send(gatewayIndex: number, isStream: boolean) {
    requestCount += 1;
    const id = `request-${requestCount}`;
    const { headers, path } = sampleCall(id, DEADLINE_MS, isStream);
    const gateway = deployment.gateways[gatewayIndex];
    assert.ok(gateway);
    const url = `http://${gateway.addresses.callers}${path}`;
    const response = await request(url, { headers });
    await response.body.dump();
    return response;
  }

  const cases = [
    { name: 'an answer', mode: EndpointMode.Responds, isStream: false },
    { name: 'a stream', mode: EndpointMode.Responds, isStream: true },
    { name: 'an error', mode: EndpointMode.FailsAfterRun, isStream: false },
  ];

  for (const { isStream, mode, name } of cases) {
    it(`send it nothing once ${name} says so, at any daemon that was told`, async () => {
      const service = isStream ? 'engines' : 'ledger';
      const leaving = await deployment.addEndpoint(service, 'leaving');
      leaving.mode = mode;
      leaving.isLeaving = true;
      await startGateways();
      const { headers } = await send(0, isStream);
      assert.equal(headers['server-leaving'], undefined);
      await deployment.addEndpoint(service, 'staying');
      await delay(HINTS_MS);
      for (let count = 0; count < 10; count += 1) {
        const { statusCode } = await send(count % GATEWAYS, isStream);
        assert.equal(statusCode, 200);
      }
      assert.equal(leaving.runs.length, 1);
    });
  }

  it('use an endpoint that starts again under its id', async () => {
    const leaving = await deployment.addEndpoint('ledger', 'same');
    leaving.isLeaving = true;
    await startGateways();
    await send(0, false);
    leaving.destroy();
    const again = await deployment.addEndpoint(
      'ledger',
      'same',
      {},
      {
        born: 1_774_896_000_001,
      },
    );
    await delay(HINTS_MS);
    assert.equal((await send(0, false)).statusCode, 200);
    assert.equal(again.runs.length, 1);
  });
});
