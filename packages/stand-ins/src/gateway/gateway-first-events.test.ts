import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import { sampleCall } from '@skylarkreach/platform/stand-ins';

import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import { waitUntil } from './gateway-fixture.js';

const DEADLINE_MS = 4_000;
/** Time in which peers exchange hints at least once, and requests that are sent until one is counted. */
const REPORT_MS = 1_000;
const MAX_REQUESTS = 10;

/** Returns the counts in the hints that a daemon has of a peer. */
function countsAt(
  { gateway }: RunningGateway,
  peerId: string,
): readonly number[] | undefined {
  const { hintBoard } = gateway.wiring.cluster;
  const peers = hintBoard.freshHints(performance.now());
  const peer = peers.find(({ hints }) => hints.daemonId === peerId);
  return peer?.hints.firstEvents?.engines;
}

describe('gateways that learn the planned load of endpoints', () => {
  const deployment = new GatewayDeployment();

  after(async () => {
    await deployment.destroy();
  });

  // Only the holder uses the counts: sent to all, they would cost hundreds of bytes a second at each daemon.
  it('report their first events to the holder of the duties and to no other daemon', async () => {
    await deployment.start();
    await deployment.addEndpoint('engines', 'engine');
    deployment.fleet = { learnsCapacity: true };
    const holder = await deployment.addGateway('daemon-1');
    const { dutyHolder } = holder.gateway.wiring.duties;
    await waitUntil(() => dutyHolder.currentToken() !== undefined);
    const others = [
      await deployment.addGateway('daemon-2'),
      await deployment.addGateway('daemon-3'),
    ];
    const knowsHolder = ({ gateway }: RunningGateway) =>
      gateway.wiring.cluster.usageHolder() !== undefined;
    await waitUntil(() => others.every(knowsHolder));
    const [second, third] = others;
    assert.ok(second && third);
    const send = async (id: string): Promise<number> => {
      const { headers, path } = sampleCall(id, DEADLINE_MS, true);
      const url = `http://${second.addresses.callers}${path}`;
      const { body, statusCode } = await request(url, { headers });
      await body.dump();
      return statusCode;
    };
    let sent = 0;
    // On a busy machine a first event may be late by this process alone, and is not counted then.
    while (countsAt(holder, 'daemon-2') === undefined) {
      assert.ok(sent < MAX_REQUESTS, 'no first event was reported');
      sent += 1;
      assert.equal(await send(`request-${sent}`), 200);
      await delay(REPORT_MS);
    }
    const [total = 0] = countsAt(holder, 'daemon-2') ?? [];
    assert.ok(total >= 1 && total <= sent);
    assert.equal(countsAt(third, 'daemon-2'), undefined);
  });
});
