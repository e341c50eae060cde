import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { GatewayFixture } from './gateway-fixture.js';

/** Version above those that the store hands out. */
const VERSION = 1_000_000_000;

describe('a gateway that gets malformed values from a peer', () => {
  let fixture: GatewayFixture;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.stop();
  });

  for (const key of ['configuration', 'endpoints', 'rollouts']) {
    it(`keeps what it has and goes on serving: ${key}`, async () => {
      const [running] = fixture.deployment.gateways;
      const store = running?.gateway.wiring.cluster.membership.store;
      const values = ['{', 'null', '1', '{"version":1000}', '[null]'];
      for (const [index, value] of values.entries()) {
        store?.apply({ key, version: VERSION + index, value });
      }
      assert.equal(await fixture.statusOf('/lookups/a'), 200);
    });
  }
});
