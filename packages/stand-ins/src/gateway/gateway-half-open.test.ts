import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { request } from 'undici';

import { sampleCall } from '@skylarkreach/platform/stand-ins';

import { LinkState } from './endpoint-links.js';
import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import { rawRequest, waitUntil } from './gateway-fixture.js';
import { RawCaller } from './raw-caller.js';

const DEADLINE_MS = 3_000;
const LOOKUPS = 4;
const CALLERS = 20;

describe('half-open connections of a gateway', () => {
  let deployment: GatewayDeployment;
  let running: RunningGateway;

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    await deployment.start();
    for (const id of ['ledger-1', 'ledger-2', 'ledger-3'])
      await deployment.addEndpoint('ledger', id);
    running = await deployment.addGateway('daemon-1');
  });

  afterEach(async () => {
    await deployment.destroy();
  });

  async function lookUp(id: string): Promise<number> {
    const { headers, path } = sampleCall(id, DEADLINE_MS, false);
    const url = `http://${running.addresses.callers}${path}`;
    const { body, statusCode } = await request(url, { headers });
    await body.dump();
    return statusCode;
  }

  // The endpoint's side is gone without a sign, as after a power failure.
  it('to an endpoint cost a lookup one attempt', async () => {
    assert.equal(await lookUp('before'), 200);
    running.links.setState(LinkState.Silent);
    running.links.setState(LinkState.Intact);
    for (let sent = 0; sent < LOOKUPS; sent += 1)
      assert.equal(await lookUp(`after-${sent}`), 200);
  });

  it('of callers that have ended their side are closed after their answer', async () => {
    const callers: RawCaller[] = [];
    for (let index = 0; index < CALLERS; index += 1) {
      const caller = await RawCaller.open(running.addresses.callers);
      callers.push(caller);
      caller.send(rawRequest(sampleCall(`r-${index}`, DEADLINE_MS, false)));
    }
    await waitUntil(() => callers.every(each => each.count(200) === 1));
    for (const caller of callers) caller.end();
    await waitUntil(() => callers.every(each => each.isEnded));
    assert.equal(await lookUp('beside'), 200);
    for (const caller of callers) caller.destroy();
  });
});
