import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ScriptedResponse } from './fakes/index.js';
import { draftRoute, eventText, ForwarderHarness } from './fakes/index.js';
import { ForwardErrorKind } from './forward-error.js';

const START_MS = 1_000;
const DEADLINE_MS = 5_000;

const metadata = { isEventStream: true };
const silent: ScriptedResponse = {
  metadata,
  chunks: [eventText(1)],
  isHanging: true,
};
const broken: ScriptedResponse = {
  metadata,
  chunks: [eventText(1)],
  isTruncated: true,
};
const refusal: ScriptedResponse = { status: 503, metadata: { isNotRun: true } };
const rest: ScriptedResponse = { metadata, chunks: [eventText(2, 3)] };
const unsent: ScriptedResponse = { isNotSent: true };

function calledIds({ upstream }: ForwarderHarness): string[] {
  return upstream.calls.map(call => call.endpoint.id);
}

describe('a stream that has begun', () => {
  it('waits for the retry budget where the endpoint that took over refuses', async () => {
    const script = [silent, refusal, rest];
    const harness = new ForwarderHarness(script, draftRoute, { retries: 1 });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 2_000);
    assert.equal(harness.upstream.calls.length, 2);
    harness.refillBudget();
    await harness.clock.advanceTo(START_MS + 2_500);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.ok(harness.sink.isEnded);
    const [first, , third] = calledIds(harness);
    assert.equal(third, first);
  });

  it('waits for the retry budget where its endpoint breaks off', async () => {
    const script = [broken, rest];
    const harness = new ForwarderHarness(script, draftRoute, { retries: 0 });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 500);
    assert.equal(harness.upstream.calls.length, 1);
    harness.refillBudget();
    await harness.clock.advanceTo(START_MS + 1_000);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.ok(harness.sink.isEnded);
  });

  it('waits for an endpoint where it can reach none for a while', async () => {
    const script = [broken, unsent, unsent, unsent, rest];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 1_000);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.ok(harness.sink.isEnded);
  });

  it('waits for the endpoint that it left where the next one fails and it is out of reach for a while', async () => {
    const failure: ScriptedResponse = { status: 500 };
    const script = [silent, failure, unsent, unsent, rest];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 2_500);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.ok(harness.sink.isEnded);
    assert.equal(await served, undefined);
    const [first, , ...later] = calledIds(harness);
    assert.deepEqual(new Set(later), new Set([first]));
  });

  it('goes on at one more endpoint where those that it was sent to leave the list', async () => {
    const failure: ScriptedResponse = { status: 500 };
    const script = [silent, failure, unsent, unsent, unsent, failure];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 1_850);
    const before = new Set(calledIds(harness));
    assert.equal(before.size, draftRoute.maxAttempts);
    harness.listEndpoints(['e4']);
    await harness.clock.advanceTo(START_MS + 2_500);
    assert.ok(calledIds(harness).includes('e4'));
    await harness.clock.advanceTo(START_MS + DEADLINE_MS);
    assert.ok(harness.sink.isDestroyed);
    assert.equal(await served, undefined);
  });

  // A draining endpoint took nothing back, and the limit of attempts let no other one have the stream.
  it('goes on at another endpoint where the one that it left drains and the next one fails', async () => {
    const failure: ScriptedResponse = { status: 500 };
    const script = [silent, failure, rest];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 100);
    const [first] = calledIds(harness);
    harness.listEndpoints(['e1', 'e2', 'e3'].filter(id => id !== first));
    await harness.clock.advanceTo(START_MS + 1_500);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.ok(harness.sink.isEnded);
    assert.equal(new Set(calledIds(harness)).size, 3);
    assert.equal(await served, undefined);
  });

  // The way back was lost with a connection, which ended a stream whose endpoint was sound.
  for (const [name, step] of [
    ['is lost', { isLost: true }],
    ['is not sent', unsent],
    ['is refused', refusal],
  ] as const) {
    for (const first of [silent, broken]) {
      it(`goes back again to an endpoint that ${first === silent ? 'was silent' : 'broke off'} where the next one fails and the first return ${name}`, async () => {
        const script = [first, { status: 500 }, step, rest];
        const harness = new ForwarderHarness(script, draftRoute);
        const served = harness.serve();
        await harness.clock.advanceTo(START_MS + 2_000);
        assert.equal(harness.sink.text, eventText(1, 2, 3));
        assert.ok(harness.sink.isEnded);
        assert.equal(new Set(calledIds(harness)).size, draftRoute.maxAttempts);
        assert.equal(await served, undefined);
      });
    }
  }

  // A stream was cut up to 20 ms before its deadline.
  it('is not cut before its deadline where that is too near for another attempt', async () => {
    const late = { ...broken, silentForMs: DEADLINE_MS - 10 };
    const route = { ...draftRoute, maxAttempts: 1 };
    const harness = new ForwarderHarness([late], route);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + DEADLINE_MS - 1);
    assert.equal(harness.sink.isDestroyed, false);
    await harness.clock.advanceTo(START_MS + DEADLINE_MS);
    assert.ok(harness.sink.isDestroyed);
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls.length, 1);
  });

  it('waits for an endpoint where none is listed for a while', async () => {
    const script = [broken, rest];
    const harness = new ForwarderHarness(script, draftRoute);
    const served = harness.serve();
    harness.listEndpoints([]);
    await harness.clock.advanceTo(START_MS + 500);
    harness.listEndpoints(['e4']);
    await harness.clock.advanceTo(START_MS + 1_000);
    assert.equal(await served, undefined);
    assert.equal(harness.sink.text, eventText(1, 2, 3));
    assert.deepEqual(calledIds(harness).slice(1), ['e4']);
  });

  it('does not connect to unreachable endpoints without pause while it waits', async () => {
    const harness = new ForwarderHarness([broken, unsent], draftRoute);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 2_000);
    const connections = harness.upstream.calls.length - 1;
    assert.ok(connections <= 3 + 10, `${connections}`);
    await harness.clock.advanceTo(START_MS + DEADLINE_MS);
    assert.equal(await served, undefined);
  });

  it('is cut at its deadline, not before, where nothing can take it over', async () => {
    const harness = new ForwarderHarness([broken], draftRoute, { retries: 0 });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + DEADLINE_MS - 100);
    assert.equal(harness.sink.isDestroyed, false);
    await harness.clock.advanceTo(START_MS + DEADLINE_MS);
    assert.equal(await served, undefined);
    assert.ok(harness.sink.isDestroyed);
    assert.equal(harness.sink.isEnded, false);
    assert.equal(harness.upstream.calls.length, 1);
  });

  // The connection that checks whether an endpoint is gone outlasted the deadline by up to a second or two.
  it('is cut at its deadline where the check of its last endpoint hangs', async () => {
    const script = [broken, { isLost: true }];
    const harness = new ForwarderHarness(script, draftRoute);
    harness.upstream.dropsConnections = () => new Promise(() => undefined);
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + DEADLINE_MS - 1);
    assert.equal(harness.sink.isDestroyed, false);
    await harness.clock.advanceTo(START_MS + DEADLINE_MS);
    assert.ok(harness.sink.isDestroyed);
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls.length, 2);
  });

  it('does not wait beyond the departure of its caller', async () => {
    const harness = new ForwarderHarness([broken, rest], draftRoute, {
      retries: 0,
    });
    const served = harness.serve();
    await harness.clock.advanceTo(START_MS + 500);
    harness.callerAbort.abort();
    assert.equal(await served, undefined);
    harness.refillBudget();
    await harness.clock.advanceTo(START_MS + 1_000);
    assert.equal(harness.upstream.calls.length, 1);
  });
});

describe('a request whose response has not begun', () => {
  it('is answered at once where the retry budget is spent', async () => {
    const harness = new ForwarderHarness([{ isLost: true }], draftRoute, {
      retries: 0,
    });
    const error = await harness.serve();
    assert.equal(error?.kind, ForwardErrorKind.EndpointFailed);
  });

  it('is answered at once where no endpoint can be reached', async () => {
    const harness = new ForwarderHarness([unsent], draftRoute);
    const error = await harness.serve();
    assert.equal(error?.kind, ForwardErrorKind.NoEndpoint);
    assert.equal(harness.upstream.calls.length, 3);
  });
});
