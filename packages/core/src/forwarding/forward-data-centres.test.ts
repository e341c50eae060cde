import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ForwardRoute } from './configuration.js';
import type { ScriptedResponse } from './fakes/index.js';
import {
  draftRoute,
  eventText,
  ForwarderHarness,
  sampleEndpoint,
  sampleRoute,
} from './fakes/index.js';
import { ForwardErrorKind } from './forward-error.js';

const metadata = { isEventStream: true };
const SOUTH = 'south-1';
const NORTH = 'north-1';
const broken: ScriptedResponse = {
  metadata,
  chunks: [eventText(1)],
  isTruncated: true,
};
const silent: ScriptedResponse = {
  metadata,
  chunks: [eventText(1)],
  isHanging: true,
};
const rest: ScriptedResponse = { metadata, chunks: [eventText(2, 3)] };
const lost: ScriptedResponse = { isLost: true };

/** Harness with two endpoints in each of two data centres. */
function createHarness(
  script: readonly ScriptedResponse[],
  route: ForwardRoute = sampleRoute(),
  peers?: ReadonlyMap<string, ScriptedResponse>,
): ForwarderHarness {
  const harness = new ForwarderHarness(
    script,
    route,
    peers === undefined ? {} : { peers },
  );
  harness.listRecords(
    [NORTH, NORTH, SOUTH, SOUTH].map((dataCentre, index) =>
      sampleEndpoint(`${dataCentre}/${index}`, { dataCentre }),
    ),
  );
  return harness;
}

function evacuate(
  { evacuations }: ForwarderHarness,
  ...dataCentres: readonly string[]
): void {
  evacuations.apply({ revision: evacuations.revision + 1, dataCentres });
}

function calledDataCentres({ upstream }: ForwarderHarness): string[] {
  return upstream.calls.map(call => call.endpoint.dataCentre);
}

describe('a request while data centres are evacuated', () => {
  it('is refused at once as not run where all endpoints of its group are evacuated, also by a daemon that could ask a peer', async () => {
    for (const isCutOff of [false, true]) {
      const harness = createHarness([{}], sampleRoute(), new Map([['p1', {}]]));
      evacuate(harness, NORTH, SOUTH);
      if (isCutOff) harness.relay.cut();
      const error = await harness.serve();
      assert.equal(error?.kind, ForwardErrorKind.Evacuated);
      assert.equal(error.httpStatus, 503);
      assert.ok((error.retryInMs ?? 0) > 0);
      assert.deepEqual(harness.upstream.calls, []);
      assert.deepEqual(harness.relay.sent, []);
    }
  });

  it('makes its further attempts elsewhere', async () => {
    const route = sampleRoute({ maxAttempts: 4 });
    const harness = createHarness([lost, lost, lost, {}], route);
    evacuate(harness, SOUTH);
    await harness.serve();
    assert.deepEqual(new Set(calledDataCentres(harness)), new Set([NORTH]));
    assert.ok(harness.upstream.calls.length > 1);
  });

  it('does not go back to an endpoint that broke off where its data centre was evacuated meanwhile', async () => {
    const harness = createHarness([broken, rest], draftRoute, undefined);
    harness.listRecords([sampleEndpoint('e1'), sampleEndpoint('e2')]);
    const served = harness.serve();
    evacuate(harness, NORTH);
    await harness.clock.advanceTo(harness.clock.nowMs() + 2_000);
    assert.equal(harness.upstream.calls.length, 1);
    evacuate(harness);
    await harness.clock.advanceTo(harness.clock.nowMs() + 500);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
  });

  it('resumes a stream at an endpoint that is not evacuated', async () => {
    const harness = createHarness([broken, rest], draftRoute);
    evacuate(harness, SOUTH);
    assert.equal(await harness.serve(), undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.deepEqual(calledDataCentres(harness), [NORTH, NORTH]);
  });

  // The endpoint that takes over from a silent one is reserved before the attempt there has ended.
  it('does not use a replacement whose data centre was evacuated after it was reserved', async () => {
    const harness = createHarness([silent, rest], draftRoute);
    evacuate(harness, SOUTH);
    const original = harness.pool.reserve.bind(harness.pool);
    let reservations = 0;
    harness.pool.reserve = (query, nowMs) => {
      const reservation = original(query, nowMs);
      reservations += 1;
      if (reservations === 2) evacuate(harness, NORTH);
      return reservation;
    };
    const served = harness.serve();
    await harness.clock.advanceTo(harness.clock.nowMs() + 3_000);
    assert.equal(await served, undefined);
    assert.deepEqual(calledDataCentres(harness), [NORTH, SOUTH]);
  });

  it('tells a connection that is established later that its endpoint gets no requests', async () => {
    const harness = createHarness([{}]);
    await harness.serve();
    const [call] = harness.upstream.calls;
    assert.equal(call?.isEndpointUsable(), true);
    evacuate(harness, NORTH, SOUTH);
    assert.equal(call.isEndpointUsable(), false);
  });
});

describe('a request with home regions', () => {
  const home = sampleRoute({ homeRegions: ['south'], maxAttempts: 6 });

  it('reaches only endpoints of these regions, by no attempt any other', async () => {
    const harness = createHarness([lost, lost, lost, lost, lost, lost], home);
    await harness.serve();
    assert.deepEqual(new Set(calledDataCentres(harness)), new Set([SOUTH]));
  });

  it('is refused at once as not run where no home can serve it', async () => {
    const nowhere = createHarness([{}], {
      ...home,
      homeRegions: ['east', 'no region'],
    });
    const error = await nowhere.serve();
    assert.equal(error?.kind, ForwardErrorKind.NoHomeRegion);
    assert.equal(error.httpStatus, 503);
    assert.ok((error.retryInMs ?? 0) > 0);
    const evacuated = createHarness([{}], home);
    evacuate(evacuated, SOUTH);
    assert.equal((await evacuated.serve())?.kind, ForwardErrorKind.Evacuated);
    assert.deepEqual(evacuated.upstream.calls, []);
  });

  // It was told to return in 500 ms, as if no endpoint were reachable.
  it('is told when one of its own endpoints may be sent a request, where these are paused', async () => {
    const pausing = { metadata: { isNotRun: true, pauseMs: 2_000 } };
    const harness = createHarness([pausing], { ...home, maxAttempts: 1 });
    const own = harness.pool
      .endpoints()
      .filter(each => each.dataCentre === SOUTH);
    for (const { id } of own)
      assert.equal(
        (await harness.serve())?.kind,
        ForwardErrorKind.Overloaded,
        id,
      );
    assert.equal(new Set(calledDataCentres(harness)).size, 1);
    await harness.clock.advanceTo(harness.clock.nowMs() + 500);
    const error = await harness.serve();
    assert.equal(error?.kind, ForwardErrorKind.Overloaded);
    assert.equal(error.retryInMs, 1_500);
    assert.equal(harness.upstream.calls.length, own.length);
  });

  it('is passed on only through peers in these regions or in that of its daemon', async () => {
    const harness = createHarness([{}], home, new Map([['p1', {}]]));
    harness.relay.cut();
    await harness.serve();
    const allowed = harness.relay.allowedDataCentres;
    assert.deepEqual([...(allowed ?? [])].sort(), [NORTH, SOUTH]);
  });

  it('goes anywhere where the list of regions is empty', async () => {
    const route = { ...home, homeRegions: [] };
    const harness = createHarness([{}], route);
    assert.equal(await harness.serve(), undefined);
    assert.equal(harness.upstream.calls.length, 1);
  });
});
