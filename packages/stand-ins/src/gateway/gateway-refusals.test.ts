import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { sampleCall } from '@skylarkreach/platform/stand-ins';

import { GatewayFixture, rawRequest, waitUntil } from './gateway-fixture.js';
import { RawCaller } from './raw-caller.js';

const PART = 'x'.repeat(16_384);
const PARTS = 20; // five times the body limit
const PART_GAP_MS = 20;
const IDLE_TIMEOUT_MS = 2_000;
const RUN_MS = 300;
const LONG_MS = 15_000;
/** Time after which a stopping daemon refuses requests that may last beyond its end. */
const ROUTED_MS = 2_500;
/** Longer than a stopping daemon may get new requests, shorter than the grace period. */
const STOPPED_WITHIN_MS = 4_000;
const LONG_HEADER = `long: ${'x'.repeat(20_000)}\r\n`;

/** Returns the head of a posting with further headers. */
function postingHead(id: string, headers: string): string {
  const call = { ...sampleCall(id, 1_500, false), path: `/postings/${id}` };
  const head = rawRequest(call).replace('GET', 'POST');
  return `${head.slice(0, -2)}${headers}\r\n`;
}

describe('a caller that sends on after its refusal', () => {
  let fixture: GatewayFixture;
  let caller: RawCaller;

  beforeEach(async () => {
    fixture = new GatewayFixture(async deployment => {
      deployment.writeConfiguration(2, { idleTimeoutMs: IDLE_TIMEOUT_MS });
      await deployment.addEndpoint('ledger', 'ledger-1', {
        plainRunMs: RUN_MS,
      });
    });
    await fixture.start();
    caller = await RawCaller.open(fixture.callersAddress);
  });

  afterEach(async () => {
    caller.destroy();
    await fixture.stop();
  });

  /** Sends parts of a body without reading, then reads what was answered. */
  async function sendParts(part: string): Promise<void> {
    caller.stopReading();
    for (let sent = 0; sent < PARTS; sent += 1) {
      caller.send(part);
      await delay(PART_GAP_MS);
    }
    caller.startReading();
    await waitUntil(() => caller.isEnded);
  }

  function assertRefused(status: number): void {
    assert.match(caller.text, new RegExp(`^HTTP/1.1 ${status} `));
    assert.match(caller.text, /connection: close\r\n/i);
    assert.equal(caller.errorCode, undefined);
  }

  it('reads that its body is too long', async () => {
    const bytes = PARTS * PART.length;
    caller.send(postingHead('large', `content-length: ${bytes}\r\n`));
    await sendParts(PART);
    assertRefused(413);
    assert.match(caller.text, /\}$/);
  });

  it('reads that its body in chunks is too long', async () => {
    caller.send(postingHead('chunked', 'transfer-encoding: chunked\r\n'));
    await sendParts(`${PART.length.toString(16)}\r\n${PART}\r\n`);
    assertRefused(413);
    assert.match(caller.text, /\}$/);
  });

  it('reads that its headers are too long', async () => {
    const headers = `${LONG_HEADER}content-length: 20\r\n`;
    caller.send(postingHead('headers', headers));
    await sendParts('x');
    assertRefused(431);
    assert.match(caller.text, /\}$/);
  });

  it('reads that its body came too slowly', async () => {
    caller.send(postingHead('slow', 'content-length: 30\r\n\r\n'));
    caller.stopReading();
    await delay(1.2 * IDLE_TIMEOUT_MS);
    await sendParts('x');
    assertRefused(408);
    assert.match(caller.text, /\}$/);
  });

  it('reads that its bytes are no request', async () => {
    caller.send('no request\r\n\r\n');
    await sendParts('more of it\r\n');
    assertRefused(400);
  });

  it('is answered if the response to its request ends the connection', async () => {
    const head = rawRequest(sampleCall('last', 1_500, false));
    caller.send(`${head.slice(0, -2)}connection: close\r\n\r\n`);
    await sendParts(rawRequest(sampleCall('crossing', 1_500, false)));
    assertRefused(200);
    assert.match(caller.text, /answer of ledger-1/);
    assert.equal(fixture.runs().length, 1);
  });

  it('is answered for each request before bytes that are none', async () => {
    const requests = ['first', 'second'].map(id =>
      rawRequest(sampleCall(id, 1_500, false)),
    );
    caller.send(requests.join(''));
    await sendParts('no request\r\n\r\n');
    assert.equal(caller.errorCode, undefined);
    assert.equal(caller.count(200), 2);
    assert.equal(fixture.runs().length, 2);
  });

  it('reads that the daemon stops, though the last answer is out before it has sent all', async () => {
    const [running] = fixture.deployment.gateways;
    assert.ok(running);
    const { gateway } = running;
    const options = {
      plainTimeoutMs: 6_000,
      headerTimeoutMs: LONG_MS,
      idleTimeoutMs: LONG_MS,
    };
    fixture.deployment.writeConfiguration(3, options);
    await waitUntil(() => gateway.wiring.configuration.version === 3);
    const stopped = gateway.stop();
    await delay(ROUTED_MS - RUN_MS / 2);
    const other = fixture.send('/lookups/a');
    await delay(RUN_MS / 2 + PART_GAP_MS);
    const head = postingHead('late', `content-length: ${PARTS + 1}\r\n`);
    caller.send(head.replace('deadline-ms: 1500', 'deadline-ms: 6000'));
    await sendParts('x');
    const { body } = await other;
    await Promise.all([body.dump(), stopped]);
    assertRefused(503);
    assert.match(caller.text, /"kind":"stopping".*\}$/);
  });

  it('does not hold up a stop with a request that crossed its last response', async () => {
    fixture.deployment.writeConfiguration(3, { idleTimeoutMs: LONG_MS });
    const [running] = fixture.deployment.gateways;
    assert.ok(running);
    const { gateway } = running;
    await waitUntil(() => gateway.wiring.configuration.version === 3);
    const head = rawRequest(sampleCall('last', 1_500, false));
    const crossing = rawRequest(sampleCall('crossing', 1_500, false));
    caller.send(`${head.slice(0, -2)}connection: close\r\n\r\n${crossing}`);
    await waitUntil(() => caller.isEnded);
    const stopRequestedAtMs = performance.now();
    await gateway.stop();
    const stoppedAfterMs = performance.now() - stopRequestedAtMs;
    assert.ok(stoppedAfterMs < STOPPED_WITHIN_MS, `${stoppedAfterMs} ms`);
  });
});
