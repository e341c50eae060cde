import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { sampleCall } from '@skylarkreach/platform/stand-ins';

import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import { rawRequest, waitUntil } from './gateway-fixture.js';
import { RawCaller } from './raw-caller.js';

const SHORT_MS = 500;
const LONG_MS = 3_000;
/** Share of the idle timeout for which callers may leave a connection idle. */
const REUSED_SHARE = 0.8;
const RUN_MS = 500;
/** Time after the idle timeout by which a connection is closed. */
const CLOSED_WITHIN_MS = 1_500;

function lookup(id: string): string {
  return rawRequest(sampleCall(id, 1_500, false));
}

describe('an idle connection of a caller', () => {
  let deployment: GatewayDeployment;
  let running: RunningGateway;
  let caller: RawCaller;

  async function start(idleTimeoutMs: number): Promise<void> {
    deployment.writeConfiguration(2, { idleTimeoutMs });
    await deployment.addEndpoint('ledger', 'ledger-1', { plainRunMs: RUN_MS });
    running = await deployment.addGateway('daemon-1');
    caller = await RawCaller.open(running.addresses.callers);
  }

  async function changeIdleTimeout(idleTimeoutMs: number): Promise<void> {
    deployment.writeConfiguration(3, { idleTimeoutMs });
    await waitUntil(() => running.gateway.wiring.configuration.version === 3);
  }

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    await deployment.start();
  });

  afterEach(async () => {
    caller.destroy();
    await deployment.destroy();
  });

  it('is not closed within an idle timeout that was extended meanwhile', async () => {
    await start(SHORT_MS);
    caller.send(lookup('first'));
    await waitUntil(() => caller.count(200) === 1);
    await changeIdleTimeout(LONG_MS);
    await delay(REUSED_SHARE * LONG_MS);
    caller.send(lookup('second'));
    await waitUntil(() => caller.count(200) === 2);
  });

  it('is not closed within the idle timeout that its caller was told', async () => {
    await start(LONG_MS);
    caller.send(lookup('first'));
    await waitUntil(() => deployment.endpoints[0]?.runs.length === 1);
    await changeIdleTimeout(SHORT_MS);
    await waitUntil(() => caller.count(200) === 1);
    assert.match(caller.text, /keep-alive: timeout=3\r\n/i);
    await delay(REUSED_SHARE * LONG_MS);
    caller.send(lookup('second'));
    await waitUntil(() => caller.count(200) === 2);
  });

  it('is closed soon after the idle timeout', async () => {
    await start(SHORT_MS);
    caller.send(lookup('first'));
    await waitUntil(() => caller.count(200) === 1);
    await delay(SHORT_MS + CLOSED_WITHIN_MS);
    assert.ok(caller.isEnded);
  });
});
