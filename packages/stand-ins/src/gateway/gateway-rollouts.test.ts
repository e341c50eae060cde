import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { Agent, request } from 'undici';

import type { EndpointServer } from '@skylarkreach/platform/stand-ins';
import {
  EndpointMode,
  SAMPLE_HOST,
  SAMPLE_KEY,
  sampleCall,
} from '@skylarkreach/platform/stand-ins';

import { GatewayDeployment } from './gateway-deployment.js';

const GROUP = 'ledger';
const VERSIONS = ['v1', 'v1', 'v2'];
const DURATION_SECONDS = 60;
/** Time within which a version that fails every request is rolled back; the decision at the end of the rollout comes far later. */
const ROLLBACK_MS = 5_000;
const REQUEST_INTERVAL_MS = 5;
const REQUESTS = 100;
const DEADLINE_MS = 1_500;

describe('gateways that start during a rollout', () => {
  let deployment: GatewayDeployment;
  let agent: Agent;

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    agent = new Agent();
    await deployment.start();
  });

  afterEach(async () => {
    await agent.destroy();
    await deployment.destroy();
  });

  async function post(callers: string, requestId: string): Promise<void> {
    const { headers } = sampleCall(requestId, DEADLINE_MS, false);
    const { body } = await request(`http://${callers}/postings/a`, {
      method: 'POST',
      headers: { ...headers, host: SAMPLE_HOST, key: SAMPLE_KEY },
      body: '{"amount":1}',
      dispatcher: agent,
    });
    await body.dump();
  }

  /** Starts endpoints of both versions, and returns that of the new one. */
  async function addEndpoints(): Promise<EndpointServer> {
    const endpoints = await Promise.all(
      VERSIONS.map((version, index) =>
        deployment.addEndpoint(
          GROUP,
          `${GROUP}-${index}`,
          {},
          { Version: version },
        ),
      ),
    );
    const newest = endpoints.at(-1);
    assert.ok(newest !== undefined);
    return newest;
  }

  // They read the order before the configuration, and left the evidence of all routes out.
  it('roll back a version that fails', async () => {
    const newest = await addEndpoints();
    newest.mode = EndpointMode.FailsAfterRun;
    deployment.store.orderRollout(GROUP, 'v2', DURATION_SECONDS);
    const { addresses, gateway } = await deployment.addGateway('daemon-1');
    const { store } = gateway.wiring.cluster.membership;
    const isRolledBack = () => store.version(`rollback/${GROUP}`) > 0;
    const untilMs = performance.now() + ROLLBACK_MS;
    const responses: Promise<void>[] = [];
    while (!isRolledBack() && performance.now() < untilMs) {
      const requestId = `posting-${responses.length}`;
      responses.push(post(addresses.callers, requestId));
      await delay(REQUEST_INTERVAL_MS);
    }
    await Promise.all(responses);
    assert.ok(isRolledBack());
  });

  // The bounds were copied when the order arrived, though changed settings apply at once.
  it('keep to bounds on the exposure that change after the order', async () => {
    const newest = await addEndpoints();
    deployment.store.orderRollout(GROUP, 'v2', DURATION_SECONDS);
    const { addresses, gateway } = await deployment.addGateway('daemon-1');
    const { bounds } = gateway.wiring.settings;
    Object.assign(bounds, { exposureShare: 0, exposureSlack: 0 });
    for (let number = 0; number < REQUESTS; number += 1)
      await post(addresses.callers, `posting-${number}`);
    assert.equal(newest.runs.length, 0);
  });
});
