import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';

import { waitUntil } from './gateway-fixture.js';
import { PartitionFixture, SERVED_KINDS } from './partition-fixture.js';

const ROUNDS = 8;
const COUNTS_KEY = 'skylarkreach/usage-counts';
/** Time for the counts of all daemons to be told and stored. */
const STORED_MS = 2_500; // two messages and two writes
/** Checks for the reports until a daemon that starts after a kill has sent them; the lease of the one before has to expire. */
const CHECKS = 200;
const CHECK_INTERVAL_MS = 100;

describe('usage counts of gateways that are all killed', () => {
  let fixture: PartitionFixture;

  beforeEach(async () => {
    fixture = new PartitionFixture();
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.stop();
  });

  it('are reported by the daemon that starts next', async () => {
    const { deployment, gateways } = fixture;
    for (const { gateway } of gateways)
      gateway.wiring.settings.bounds.usageCheckpointSeconds = 1;
    // Only the holder of the duties stores counts; there is none in the first three seconds.
    await waitUntil(() =>
      gateways.some(
        ({ gateway }) =>
          gateway.wiring.duties.dutyHolder.currentToken() !== undefined,
      ),
    );
    await fixture.serveRounds(gateways.slice(0, 2));
    const counted = fixture.usage();
    assert.ok(counted >= ROUNDS * SERVED_KINDS.length);
    await delay(STORED_MS);
    for (const running of [...gateways])
      await deployment.removeGateway(running);
    // A new holder sends the stored reports again, which the platform ignores if their counts are the same.
    const reported = () => {
      const countsByWindow = new Map<
        number,
        Readonly<Record<string, number>>
      >();
      for (const { counts, windowId } of deployment.cloud.usageReports()) {
        assert.deepEqual(countsByWindow.get(windowId) ?? counts, counts);
        countsByWindow.set(windowId, counts);
      }
      return [...countsByWindow.values()]
        .flatMap(counts => Object.values(counts))
        .reduce((sum, each) => sum + each, 0);
    };
    const successor = await deployment.addGateway('daemon-9');
    successor.gateway.wiring.settings.bounds.usageCheckpointSeconds = 1;
    for (let check = 0; check < CHECKS && reported() < counted; check += 1)
      await delay(CHECK_INTERVAL_MS);
    assert.equal(reported(), counted);
    assert.ok(deployment.store.state.get(COUNTS_KEY) !== undefined);
  });
});
