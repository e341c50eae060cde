import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import { busiestWindow } from '@skylarkreach/core/fakes';
import type { EndpointServer } from '@skylarkreach/platform/stand-ins';
import { sampleCall } from '@skylarkreach/platform/stand-ins';

import { GatewayDeployment } from './gateway-deployment.js';

const GATEWAYS = 4;
const REQUEST_INTERVAL_MS = 15;
const WINDOW_MS = 1_000;
const COLD_START_S = 3;
/** What a cold endpoint tolerates; with the default settings it is also the bound. */
const COLD_PER_S = 4;
const LIST_READ_MS = 1_600; // two reads of the list
/** Service time of the warm endpoint, so that all prefer the cold one, which is faster as far as they know. */
const WARM_RUN_MS = 60;

describe('gateways whose endpoints start cold', () => {
  let deployment: GatewayDeployment;
  let requestCount = 0;

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    await deployment.start();
    const services = { ColdStartS: COLD_START_S, ColdPerS: COLD_PER_S };
    deployment.writeConfiguration(2, { services });
    await deployment.addEndpoint('ledger', 'warm', {
      plainRunMs: WARM_RUN_MS,
    });
    for (let number = 1; number <= GATEWAYS; number += 1)
      await deployment.addGateway(`daemon-${number}`);
    await delay(COLD_START_S * 1_000);
  });

  afterEach(async () => {
    await deployment.destroy();
  });

  /** Sends lookups to all gateways in turn for a while, and returns the statuses. */
  async function sendFor(durationMs: number): Promise<number[]> {
    const endAtMs = performance.now() + durationMs;
    const calls: Promise<number>[] = [];
    for (let round = 0; performance.now() < endAtMs; round += 1) {
      const { addresses } = deployment.gateways[round % GATEWAYS] ?? {};
      requestCount += 1;
      const { headers, path } = sampleCall(`r-${requestCount}`, 4_000, false);
      const call = async () => {
        const url = `http://${addresses?.callers ?? ''}${path}`;
        const { body, statusCode } = await request(url, { headers });
        await body.dump();
        return statusCode;
      };
      calls.push(call());
      await delay(REQUEST_INTERVAL_MS);
    }
    return Promise.all(calls);
  }

  /** Returns the most requests that the endpoint got in a second after `fromMs`. */
  function busiestSecond({ runs }: EndpointServer, fromMs: number): number {
    const timesMs = runs.map(run => run.readAtMs);
    return busiestWindow(
      timesMs.filter(atMs => atMs >= fromMs),
      WINDOW_MS,
    );
  }

  it('stay below the bound of one that starts beside a warm one, and use it fully afterwards', async () => {
    const born = Date.now();
    const cold = await deployment.addEndpoint('ledger', 'cold', {}, { born });
    const statuses = await sendFor(COLD_START_S * 1_000 - 500);
    assert.ok(statuses.every(status => status === 200));
    const most = busiestSecond(cold, 0);
    assert.ok(most > 0 && most <= COLD_PER_S, `${most} requests`);
    await delay(500 + LIST_READ_MS);
    const fromMs = performance.now();
    await sendFor(2_000);
    assert.ok(busiestSecond(cold, fromMs) > COLD_PER_S);
  });

  it('stay below the bound of the only one, which says in its responses that it is cold again', async () => {
    const [only] = deployment.endpoints;
    assert.ok(only);
    await sendFor(500);
    only.coldForMs = COLD_START_S * 1_000;
    await sendFor(500);
    const fromMs = performance.now();
    const statuses = await sendFor(2_000);
    const most = busiestSecond(only, fromMs);
    assert.ok(most > 0 && most <= COLD_PER_S, `${most} requests`);
    assert.ok(statuses.every(status => status === 200 || status === 503));
  });
});
