import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { request } from 'undici';

import type { GroupQueueState } from '@skylarkreach/core/dispatch-queue';
import { EndpointRoom } from '@skylarkreach/platform/stand-ins';

import { GatewayFixture, waitUntil } from './gateway-fixture.js';

/** Requests that the daemon sends before it has learned anything, which the endpoint just takes. */
const TAKEN = 3;
const CALLS = 8;
const DEADLINE = { 'deadline-ms': '60000' };

interface QueueDump {
  readonly isEnabled: boolean;
  readonly groups: readonly GroupQueueState[];
}

describe('a gateway whose requests wait for capacity', () => {
  let fixture: GatewayFixture;
  let room: EndpointRoom;

  beforeEach(async () => {
    room = new EndpointRoom(1, TAKEN - 1, 50);
    fixture = new GatewayFixture(async deployment => {
      deployment.queue = { isEnabled: true };
      deployment.writeConfiguration(2);
      const entry = { Slots: 1 };
      const endpoint = await deployment.addEndpoint('ledger', 'l-1', {}, entry);
      endpoint.room = room;
    });
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.stop();
  });

  function callAll(signal?: AbortSignal) {
    return Array.from({ length: CALLS }, (_, index) =>
      fixture.send(`/lookups/${index}`, DEADLINE, signal ? { signal } : {}),
    );
  }

  it('serves more calls at once than its endpoint takes, without a rejection', async () => {
    const responses = await Promise.all(callAll());
    for (const { body, statusCode } of responses) {
      await body.dump();
      assert.equal(statusCode, 200);
    }
    assert.equal(room.rejectedAtMs.length, 0);
    assert.equal(fixture.runs().length, CALLS);
  });

  it('shows its queues to the operators', async () => {
    room.serviceMs = 100;
    const calls = callAll();
    await waitUntil(() => fixture.runs().length === 1);
    const metrics = fixture.deployment.gateways[0]?.addresses.metrics;
    const { body } = await request(`http://${metrics ?? ''}/dump/queues`);
    const dump = (await body.json()) as QueueDump;
    assert.equal(dump.isEnabled, true);
    assert.equal(dump.groups[0]?.group, 'ledger');
    assert.ok(dump.groups[0].waiting > 0);
    for (const response of await Promise.all(calls)) await response.body.dump();
  });

  it('sends nothing for callers that leave while their requests wait', async () => {
    room.serviceMs = 100;
    const callers = new AbortController();
    const ended = Promise.allSettled(callAll(callers.signal));
    await waitUntil(() => fixture.runs().length === 1);
    callers.abort();
    await ended;
    // The endpoint takes requests in order, so that this one ends after all that were sent.
    await fixture.statusOf('/lookups/later', DEADLINE);
    assert.ok(fixture.runs().length < CALLS);
  });

  it('refuses requests that wait when it stops, to return at once', async () => {
    room.serviceMs = 100;
    const calls = callAll();
    await waitUntil(() => fixture.runs().length === 1);
    const stopped = fixture.deployment.gateways[0]?.gateway.stop();
    let served = 0;
    for (const { body, headers, statusCode } of await Promise.all(calls)) {
      await body.dump();
      if (statusCode === 200) served += 1;
      else
        assert.equal(
          `${statusCode} ${String(headers['retry-after'])}`,
          '503 0.000',
        );
    }
    await stopped;
    assert.ok(served < CALLS);
    assert.equal(fixture.runs().length, served);
  });
});
