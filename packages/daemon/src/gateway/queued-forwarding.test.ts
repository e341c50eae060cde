import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { QueueGate } from '@skylarkreach/core/dispatch-queue';
import {
  ForwarderHarness,
  sampleEndpoint,
  sampleRoute,
} from '@skylarkreach/core/forwarding/fakes';
import { noopLog, noopMetrics, SeededRandom } from '@skylarkreach/core/ports';

const route = sampleRoute({ timeoutMs: 4_000, latencyObjectiveMs: 3_000 });
/** Requests that a daemon sends before it has learned anything. */
const PLACES = 3;

/** Returns a daemon before one endpoint that does not answer, with its places taken. */
async function createFull() {
  let harness: ForwarderHarness | undefined = undefined;
  const current = (): ForwarderHarness => {
    assert.ok(harness !== undefined);
    return harness;
  };
  const gate = new QueueGate({
    clock: {
      nowMs: () => current().clock.nowMs(),
      waitUntil: (...args) => current().clock.waitUntil(...args),
    },
    nextPoll: () => Promise.resolve(),
    log: noopLog,
    metrics: noopMetrics,
    random: new SeededRandom(1),
    limits: () => ({ maxRequests: 256, maxBytes: 1_000_000 }),
    daemonCount: () => 1,
    room: (group, nowMs) => current().pool.room(group, nowMs),
    isCutOff: () => current().relay.isUnreachable(),
    configurationVersion: () => 1,
  });
  harness = new ForwarderHarness([{ isHanging: true }], route, {
    dispatchGate: gate,
    peers: new Map([['peer', {}]]),
  });
  harness.listRecords([sampleEndpoint('e1', { slots: 1 })]);
  const busy = Array.from({ length: PLACES }, () => current().serve());
  await harness.clock.advanceTo(1_010);
  assert.equal(harness.upstream.calls.length, PLACES);
  return { busy, harness };
}

describe('a request that waits at the queue of a gateway', () => {
  // It waited on, and was refused at its deadline, while a peer could have served it.
  it('goes through a peer as soon as its daemon is cut off', async () => {
    const { harness } = await createFull();
    const served = harness.serve();
    await harness.clock.advanceTo(1_200);
    assert.equal(harness.relay.sent.length, 0);
    harness.relay.cut(false);
    await harness.clock.advanceTo(1_260);
    assert.equal(harness.relay.sent.length, 1);
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls.length, PLACES);
  });
});
