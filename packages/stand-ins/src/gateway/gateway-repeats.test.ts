import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import {
  RepeatedResponse,
  RepeatingEndpoint,
  RepeatTime,
} from '@skylarkreach/platform/stand-ins';

import { GatewayFixture, waitUntil } from './gateway-fixture.js';

/** Pairs of requests; the second of each may reuse the connection of the first. */
const PAIRS = 6;
/** Time between two requests, longer than an endpoint waits before it writes to an idle connection. */
const PAUSE_MS = 20;
/** Body that the gateway sends in several writes. */
const BODY = 'x'.repeat(60_000);

describe('a gateway before an endpoint that writes an earlier response once more', () => {
  let fixture: GatewayFixture;
  let endpoint: RepeatingEndpoint | undefined;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    await fixture.start();
  });

  afterEach(async () => {
    endpoint?.destroy();
    endpoint = undefined;
    await fixture.stop();
  });

  for (const repeated of Object.values(RepeatedResponse)) {
    // A redirecting endpoint gets no further request on the connection.
    const isLast = repeated === RepeatedResponse.Redirection;
    const times = isLast ? [RepeatTime.WhileIdle] : Object.values(RepeatTime);
    for (const time of times) {
      it(`never takes the copy for another request's response: ${repeated}, ${time}`, async () => {
        endpoint = new RepeatingEndpoint(repeated, time);
        const { deployment } = fixture;
        const address = await endpoint.listen();
        deployment.replaceEndpoints('repeating', 'ledger', address);
        const pool = deployment.gateways[0]?.gateway.wiring.pool;
        await waitUntil(() => pool?.endpoints()[0]?.address === address);
        for (let count = 0; count < PAIRS * 2; count += 1) {
          const before = new Set(endpoint.runs);
          const response = await fixture.send(
            `/postings/${count}`,
            {},
            { body: BODY },
          );
          const text = await response.body.text();
          await delay(PAUSE_MS);
          const ran: string[] = endpoint.runs.filter(id => !before.has(id));
          assert.ok(ran.length <= 1);
          const { statusCode } = response;
          assert.ok([200, 502, 503].includes(statusCode));
          if (statusCode === 503) assert.deepEqual(ran, []);
          if (statusCode === 200) assert.equal(text, `answer to ${ran[0]}`);
        }
        assert.ok(endpoint.copies > 0);
      });
    }
  }
});
