import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { sampleCall } from '@skylarkreach/platform/stand-ins';

import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import { rawRequest } from './gateway-fixture.js';

/** Streams of 3.6 s, longer than a stopping daemon accepts connections. */
const STREAM = { events: 6, eventGapMs: 600 };
/** Time between the starts of two streams. */
const STREAM_OFFSET_MS = 1_200;
/** Time in which a daemon closes a connection that its caller has stopped using. */
const CLOSE_MS = 300;

describe('a gateway that stops', () => {
  let deployment: GatewayDeployment;
  let running: RunningGateway;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    deployment = new GatewayDeployment();
    await deployment.start();
    await deployment.addEndpoint('engines', 'engine-1', STREAM);
    running = await deployment.addGateway('daemon-1');
  });

  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    await deployment.destroy();
  });

  /** Starts a stream on a new connection; resolves when the response has begun. */
  async function startStream(requestId: string): Promise<Socket> {
    const call = sampleCall(requestId, 8_000, true);
    const [host, port] = running.addresses.callers.split(':');
    const socket = connect(Number(port), host);
    sockets.push(socket);
    socket.write(rawRequest(call));
    await once(socket, 'data');
    return socket;
  }

  it('closes a connection whose response began before the stop and ends after it, while others go on', async () => {
    const first = await startStream('request-1');
    await delay(STREAM_OFFSET_MS);
    const second = await startStream('request-2');
    const ends: string[] = [];
    const texts = new Map<string, string>();
    for (const [name, socket] of [
      ['first', first],
      ['second', second],
    ] as const) {
      socket.on('data', chunk => {
        texts.set(name, (texts.get(name) ?? '') + chunk.toString('latin1'));
      });
    }
    let lastDataAtMs = 0;
    first.on('data', () => {
      lastDataAtMs = performance.now();
    });
    let closedAfterMs = Infinity;
    const firstEnd = once(first, 'end').then(() => {
      ends.push('first');
      closedAfterMs = performance.now() - lastDataAtMs;
    });
    const stopped = running.gateway.stop();
    const lastEvent = new Promise<void>(resolve => {
      second.on('data', () => {
        if (texts.get('second')?.includes(`id: ${STREAM.events}`) === true)
          resolve();
      });
    });
    void lastEvent.then(() => ends.push('last event of the second'));
    await Promise.all([firstEnd, lastEvent]);
    await stopped;
    assert.deepEqual(ends, ['first', 'last event of the second']);
    assert.match(texts.get('first') ?? '', /id: 6/);
    assert.ok(closedAfterMs < CLOSE_MS, `closed after ${closedAfterMs} ms`);
  });
});
