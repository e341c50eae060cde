import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { Agent, request } from 'undici';

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

  // They read the order before the configuration, and left the evidence of all routes out.
  it('roll back a version that fails', async () => {
    for (const [index, version] of VERSIONS.entries()) {
      const id = `${GROUP}-${index}`;
      const entry = { Version: version };
      const endpoint = await deployment.addEndpoint(GROUP, id, {}, entry);
      if (version === 'v2') endpoint.mode = EndpointMode.FailsAfterRun;
    }
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
});
