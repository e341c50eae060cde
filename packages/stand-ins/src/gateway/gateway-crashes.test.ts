import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import type { EndpointServer } from '@skylarkreach/platform/stand-ins';
import { sampleCall } from '@skylarkreach/platform/stand-ins';

import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';

const ENGINES = 6;
const GATEWAYS = 3;
const BAD_PART = 'bad';
/** Crashes after which all daemons must know the part. */
const MAX_CRASHES = 5;
/** Time that the users allow from the last of these crashes until daemons act on it. */
const CONTACT_MS = 3_000;
/** Requests with the part that may reach endpoints after that. */
const MAX_LATE_RUNS = 3;
const OBSERVED_MS = 3_000;
const REQUEST_INTERVAL_MS = 100;

describe('gateways whose endpoints crash under one part of a prompt', () => {
  let deployment: GatewayDeployment;
  let engines: EndpointServer[];
  /** Times at which endpoints crashed, in order. */
  let crashedAtMs: number[];
  let requestCount: number;

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    engines = [];
    crashedAtMs = [];
    requestCount = 0;
    await deployment.start();
    for (let count = 0; count < ENGINES; count += 1) await addEngine();
    for (let count = 1; count <= GATEWAYS; count += 1) {
      await deployment.addGateway(`daemon-${count}`);
    }
  });

  afterEach(async () => {
    await deployment.destroy();
  });

  async function addEngine(): Promise<void> {
    const id = `engine-${deployment.endpoints.length}`;
    const engine = await deployment.addEndpoint('engines', id);
    engine.crashingPartId = BAD_PART;
    engines.push(engine);
  }

  /** Replaces crashed engines by new ones. */
  async function replaceCrashed(): Promise<void> {
    for (const engine of engines.filter(each => each.hasCrashed)) {
      engines.splice(engines.indexOf(engine), 1);
      crashedAtMs.push(performance.now());
      deployment.store.state.delete(`servers/${engine.id}`);
      await addEngine();
    }
  }

  /** Sends a request whose prompt has the given part in its middle; returns the status. */
  async function send(
    { addresses }: RunningGateway,
    partId: string,
  ): Promise<number> {
    requestCount += 1;
    const id = `request-${requestCount}`;
    const { headers, path } = sampleCall(id, 8_000, true);
    const prompt = `common:60,${partId}:20,${id}:10`;
    const { body, statusCode } = await request(
      `http://${addresses.callers}${path}`,
      { headers: { ...headers, 'prompt-prefix': prompt } },
    );
    await body.dump().catch(() => undefined); // a response that is cut
    return statusCode;
  }

  function runsWith(partId: string): number {
    const runs = deployment.endpoints.flatMap(endpoint => endpoint.runs);
    return runs.filter(({ headers }) =>
      String(headers['prompt-prefix']).includes(`${partId}:`),
    ).length;
  }

  /** Sends requests with the bad part and sound ones to all gateways in turn until the time returned by `endAtMs`. */
  async function sendUntil(endAtMs: () => number): Promise<number[]> {
    const sound: Promise<number>[] = [];
    const bad: Promise<unknown>[] = [];
    for (let round = 0; performance.now() < endAtMs(); round += 1) {
      const gateway = deployment.gateways[round % GATEWAYS];
      assert.ok(gateway);
      bad.push(send(gateway, BAD_PART));
      sound.push(send(gateway, `sound-${round % 5}`));
      await delay(REQUEST_INTERVAL_MS);
      await replaceCrashed();
    }
    await Promise.all(bad);
    return Promise.all(sound);
  }

  it('stops sending requests with a part that has crashed five endpoints', async () => {
    const lastCrashAtMs = () => crashedAtMs[MAX_CRASHES - 1] ?? Infinity;
    await sendUntil(() => lastCrashAtMs() + CONTACT_MS);
    const runsBefore = runsWith(BAD_PART);
    const statuses = await sendUntil(
      () => lastCrashAtMs() + CONTACT_MS + OBSERVED_MS,
    );
    assert.ok(runsWith(BAD_PART) - runsBefore <= MAX_LATE_RUNS);
    assert.ok(statuses.every(status => status === 200));
  });
});
