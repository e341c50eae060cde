import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import { PlacementRule } from '@skylarkreach/daemon';
import { sampleCall } from '@skylarkreach/platform/stand-ins';

import { LinkState } from './endpoint-links.js';
import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';

const DEADLINE_MS = 4_000;
const REPORT = { running: 2, waiting: 0, slots: 8, slowdown: 1.5 };
const POLL_MS = 50;
const WAIT_MS = 20_000;

/** Endpoint in a daemon's dump, with what it learned of it. */
interface DumpedEndpoint {
  readonly learned?: { readonly newestLoad?: unknown };
}

describe('gateways that place requests by work', () => {
  let deployment: GatewayDeployment;

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    await deployment.start();
    const engine = await deployment.addEndpoint('engines', 'engine');
    engine.reportedLoad = '2,0,8,150';
  });

  afterEach(async () => {
    await deployment.destroy();
  });

  async function start(
    daemonId: string,
    placement: PlacementRule,
  ): Promise<RunningGateway> {
    deployment.placement = placement;
    return deployment.addGateway(daemonId);
  }

  async function stream({ addresses }: RunningGateway, id: string) {
    const { headers, path } = sampleCall(id, DEADLINE_MS, true);
    const url = `http://${addresses.callers}${path}`;
    const { body, statusCode } = await request(url, { headers });
    await body.dump();
    return statusCode;
  }

  /** Returns the load of the endpoint as the daemon's dump shows it. */
  async function knownLoad({ addresses }: RunningGateway): Promise<unknown> {
    const url = `http://${addresses.metrics}/dump/endpoints`;
    const { body } = await request(url);
    const [endpoint] = (await body.json()) as DumpedEndpoint[];
    return endpoint?.learned?.newestLoad;
  }

  it('tell one another the load that endpoints report', async () => {
    const first = await start('daemon-1', PlacementRule.LeastWork);
    const second = await start('daemon-2', PlacementRule.LeastWork);
    await tell(first, second);
    assert.deepEqual(await knownLoad(second), REPORT);
  });

  /** Sends streams through one daemon until the other one knows of the load. */
  async function tell(from: RunningGateway, to: RunningGateway) {
    const deadlineAtMs = performance.now() + WAIT_MS;
    for (let sent = 0; (await knownLoad(to)) === undefined; sent += 1) {
      assert.ok(performance.now() < deadlineAtMs, 'no report came');
      assert.equal(await stream(from, `request-${sent}`), 200);
      await delay(POLL_MS);
    }
  }

  it('serve on where the daemon that told them of the load is killed', async () => {
    const first = await start('daemon-1', PlacementRule.LeastWork);
    const second = await start('daemon-2', PlacementRule.LeastWork);
    await tell(first, second);
    await deployment.removeGateway(first);
    for (const id of ['after-1', 'after-2', 'after-3'])
      assert.equal(await stream(second, id), 200);
    assert.deepEqual(await knownLoad(second), REPORT);
  });

  it('serve on beside one whose links are cut, and then through a peer', async () => {
    const first = await start('daemon-1', PlacementRule.LeastWork);
    const second = await start('daemon-2', PlacementRule.LeastWork);
    await tell(first, second);
    second.links.setState(LinkState.Reset);
    assert.equal(await stream(first, 'beside'), 200);
    const deadlineAtMs = performance.now() + WAIT_MS;
    for (let sent = 0; ; sent += 1) {
      const status = await stream(second, `cut-${sent}`);
      if (status === 200) break;
      assert.ok(performance.now() < deadlineAtMs, `status ${status}`);
      await delay(POLL_MS);
    }
  });

  it('serve beside a daemon that places by latency and knows no reports', async () => {
    const first = await start('daemon-1', PlacementRule.LeastWork);
    const second = await start('daemon-2', PlacementRule.LeastLatency);
    for (const [index, gateway] of [first, second, first, second].entries())
      assert.equal(await stream(gateway, `request-${index}`), 200);
    assert.deepEqual(await knownLoad(first), REPORT);
    assert.equal(await knownLoad(second), undefined);
  });
});
