import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { QueueGate } from '@skylarkreach/core/dispatch-queue';
import type { ForwardRoute } from '@skylarkreach/core/forwarding';
import { ForwardErrorKind } from '@skylarkreach/core/forwarding';
import type { ScriptedResponse } from '@skylarkreach/core/forwarding/fakes';
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
  const harness = create([{ isHanging: true }], route);
  harness.listRecords([sampleEndpoint('e1', { slots: 1 })]);
  const busy = Array.from({ length: PLACES }, () => harness.serve());
  await harness.clock.advanceTo(1_010);
  assert.equal(harness.upstream.calls.length, PLACES);
  return { busy, harness };
}

/** Returns a daemon whose requests wait for capacity. */
function create(
  script: readonly ScriptedResponse[],
  servedRoute: ForwardRoute,
): ForwarderHarness {
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
  harness = new ForwarderHarness(script, servedRoute, {
    dispatchGate: gate,
    peers: new Map([['peer', {}]]),
  });
  harness.evacuations.onBegin(() => {
    gate.recheckWaiting();
  });
  return harness;
}

/** Returns a daemon before a paused endpoint in the home region of requests and a free one elsewhere. */
async function createPaused() {
  const pausing = { metadata: { isNotRun: true, pauseMs: 700 } };
  const home = { ...route, homeRegions: ['south'], maxAttempts: 1 };
  const harness = create([pausing, {}], home);
  harness.listRecords([
    sampleEndpoint('home', { dataCentre: 'south-1' }),
    sampleEndpoint('elsewhere'),
  ]);
  assert.equal((await harness.serve())?.kind, ForwardErrorKind.Overloaded);
  return harness;
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

  it('waits and is sent by the list in use, however old, while the store is down', async () => {
    const harness = create([{ silentForMs: 500 }], route);
    harness.listRecords([sampleEndpoint('e1', { slots: 1 })]);
    await harness.clock.advanceTo(3_600_000);
    const served = Array.from({ length: PLACES + 1 }, () => harness.serve());
    await harness.clock.advanceTo(3_600_400);
    assert.equal(harness.upstream.calls.length, PLACES);
    await harness.clock.advanceTo(3_601_500);
    assert.equal(harness.upstream.calls.length, PLACES + 1);
    const ends = await Promise.all(served);
    assert.deepEqual(new Set(ends), new Set([undefined]));
  });

  it('is refused as before where its group has no endpoint', async () => {
    const harness = create([{}], route);
    harness.listRecords([]);
    const refused = await harness.serve();
    assert.equal(refused?.kind, ForwardErrorKind.NoEndpoint);
  });

  // It was refused, as if no endpoint were reachable.
  it('waits where only the endpoints in its home regions are paused', async () => {
    const harness = await createPaused();
    const served = harness.serve();
    await harness.clock.advanceTo(1_690);
    assert.equal(harness.upstream.calls.length, 1);
    await harness.clock.advanceTo(1_760);
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls[1]?.endpoint.id, 'home');
  });

  // It learned of the evacuation only as it was sent.
  it('is refused as not run when the evacuation of its home regions is applied', async () => {
    const harness = await createPaused();
    const served = harness.serve();
    await harness.clock.advanceTo(1_100);
    harness.evacuations.apply({ revision: 1, dataCentres: ['south-1'] });
    const refused = await served;
    assert.equal(harness.clock.nowMs(), 1_100);
    assert.equal(refused?.kind, ForwardErrorKind.Evacuated);
    assert.equal(refused.httpStatus, 503);
  });
});
