import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { SAMPLE_HOST, SAMPLE_KEY } from '@skylarkreach/platform/stand-ins';

import { GatewayFixture, waitUntil } from './gateway-fixture.js';
import { RawCaller } from './raw-caller.js';

/** Largest body of the users' configuration. */
const MAX_BODY_BYTES = 4_194_304;
const HELD_COUNT = 5;
/** Bodies that the smallest machine holds. */
const FITTING_COUNT = 3;

describe('a gateway whose callers hold more bodies open than fit its memory', () => {
  let fixture: GatewayFixture;
  let callers: RawCaller[];

  beforeEach(async () => {
    callers = [];
    fixture = new GatewayFixture();
    await fixture.start();
    fixture.deployment.writeConfiguration(2, {
      maxBodyBytes: MAX_BODY_BYTES,
      idleTimeoutMs: 15_000,
      plainTimeoutMs: 8_000,
    });
    const [running] = fixture.deployment.gateways;
    await waitUntil(() => running?.gateway.wiring.configuration.version === 2);
  });

  afterEach(async () => {
    for (const caller of callers) caller.destroy();
    await fixture.stop();
  });

  /** Sends a request whose body has all but its last bytes; returns its caller. */
  async function hold(missingBytes: number): Promise<RawCaller> {
    const caller = await RawCaller.open(fixture.callersAddress);
    callers.push(caller);
    caller.send(
      `POST /postings/a HTTP/1.1\r\nhost: ${SAMPLE_HOST}\r\nkey: ${SAMPLE_KEY}\r\n` +
        `request-id: held-${callers.length}\r\ndeadline-ms: 8000\r\n` +
        `content-length: ${MAX_BODY_BYTES}\r\n\r\n`,
    );
    caller.send('x'.repeat(MAX_BODY_BYTES - missingBytes));
    return caller;
  }

  it('serves the largest body in calm conditions', async () => {
    const caller = await hold(0);
    await waitUntil(() => caller.count(200) === 1);
  });

  // A refusal states that the request has not run, so that its caller may send it again.
  it('refuses those that do not fit with 503, sends none of them on, and serves the others', async () => {
    for (let number = 0; number < HELD_COUNT; number += 1) await hold(1);
    const count = (status: number) =>
      callers.filter(caller => caller.count(status) === 1).length;
    await waitUntil(() => count(503) === HELD_COUNT - FITTING_COUNT);
    assert.ok(
      callers.every(
        ({ text }) => text === '' || /retry-after: 1\.000/i.test(text),
      ),
    );
    for (const caller of callers) if (caller.text === '') caller.send('x');
    await waitUntil(() => count(200) === FITTING_COUNT);
    assert.equal(fixture.runs().length, FITTING_COUNT);
  });
});
