import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import { EndpointMode, sampleCall } from '@skylarkreach/platform/stand-ins';

import { GatewayDeployment } from './gateway-deployment.js';

const PAUSE_MS = 1_500;
const DEADLINE_MS = 4_000;
const REQUEST_INTERVAL_MS = 20;

describe('a gateway whose endpoints ask for a pause', () => {
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

  async function send() {
    requestCount += 1;
    const id = `request-${requestCount}`;
    const { headers, path } = sampleCall(id, DEADLINE_MS, false);
    const [gateway] = deployment.gateways;
    assert.ok(gateway);
    const url = `http://${gateway.addresses.callers}${path}`;
    const response = await request(url, { headers });
    await response.body.dump();
    return response;
  }

  it('sends them nothing before its end, and uses them again after it', async () => {
    const endpoints = [
      await deployment.addEndpoint('ledger', 'paused-1'),
      await deployment.addEndpoint('ledger', 'paused-2'),
    ];
    for (const endpoint of endpoints) {
      endpoint.mode = EndpointMode.ShedsLoad;
      endpoint.rejectionPauseMs = PAUSE_MS;
    }
    await deployment.addGateway('daemon-1');
    // The pauses begin later than this, so that none ends before `endsAtMs`.
    const endsAtMs = performance.now() + PAUSE_MS;
    await send();
    let calls = 0;
    for (;;) {
      const { statusCode } = await send();
      const rejections = endpoints.map(each => each.rejections);
      if (performance.now() >= endsAtMs) break;
      assert.equal(statusCode, 503);
      assert.deepEqual(rejections, [1, 1]);
      calls += 1;
      await delay(REQUEST_INTERVAL_MS);
    }
    assert.ok(calls > 0);
    for (const endpoint of endpoints) endpoint.mode = EndpointMode.Responds;
    await delay(PAUSE_MS);
    assert.equal((await send()).statusCode, 200);
  });

  it('rejects at once what no endpoint takes, and serves it when it said', async () => {
    const paused = await deployment.addEndpoint('ledger', 'paused');
    paused.mode = EndpointMode.ShedsLoad;
    paused.rejectionPauseMs = PAUSE_MS;
    await deployment.addGateway('daemon-1');
    await send();
    const rejected = await send();
    assert.equal(rejected.statusCode, 503);
    const retryAfterMs = Number(rejected.headers['retry-after']) * 1_000;
    assert.ok(retryAfterMs > PAUSE_MS / 2 && retryAfterMs <= PAUSE_MS);
    assert.equal(paused.rejections, 1);
    paused.mode = EndpointMode.Responds;
    await delay(retryAfterMs + 1);
    assert.equal((await send()).statusCode, 200);
  });
});
