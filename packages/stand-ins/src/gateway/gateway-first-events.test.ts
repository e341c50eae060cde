import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';

import { request } from 'undici';

import { sampleCall } from '@skylarkreach/platform/stand-ins';

import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import { waitUntil } from './gateway-fixture.js';

const DEADLINE_MS = 4_000;

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
    const { headers, path } = sampleCall('request-1', DEADLINE_MS, true);
    const url = `http://${second.addresses.callers}${path}`;
    const { body, statusCode } = await request(url, { headers });
    await body.dump();
    assert.equal(statusCode, 200);
    await waitUntil(() => countsAt(holder, 'daemon-2')?.[0] === 1);
    assert.equal(countsAt(third, 'daemon-2'), undefined);
  });
});
