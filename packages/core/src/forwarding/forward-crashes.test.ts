import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { RouteType } from './configuration.js';
import { ForwarderHarness, sampleRoute } from './fakes/index.js';
import { ForwardErrorKind } from './forward-error.js';

const draftRoute = sampleRoute({
  type: RouteType.Streaming,
  isResumable: true,
  timeoutMs: 8_000,
  latencyObjectiveMs: 800,
});
const metadata = { isEventStream: true };
const event = 'id: 1\ndata: x\n\n';
const promptParts = ['common', 'bad', 'own'].map(id => ({ id, tokens: 10 }));

describe('a request whose endpoint crashes', () => {
  it('is reported with the endpoint that refuses connections after it began to respond', async () => {
    const script = [{ metadata, chunks: [event], isTruncated: true }];
    const harness = new ForwarderHarness(script, draftRoute);
    harness.upstream.crashedIds.add('e1').add('e2').add('e3');
    await harness.serveToDeadline({ promptParts });
    const sentIds = harness.upstream.calls.map(call => call.endpoint.id);
    assert.deepEqual(
      harness.crashGuard.crashes.map(crash => crash.endpointId),
      sentIds,
    );
  });

  it('is reported with the endpoint that refuses connections before it responded', async () => {
    const harness = new ForwarderHarness([{ isLost: true }], sampleRoute());
    harness.upstream.crashedIds.add('e1').add('e2').add('e3');
    await harness.serve();
    await harness.serve();
    const { crashes } = harness.crashGuard;
    const ids = new Set(crashes.flatMap(crash => crash.suspectIds));
    assert.deepEqual([crashes.length, ids.size], [4, 1]);
  });

  it('is not reported where the endpoint accepts connections or was not reached', async () => {
    for (const step of [
      { metadata, chunks: [event], isTruncated: true },
      { isLost: true },
      { isNotSent: true },
    ]) {
      const harness = new ForwarderHarness([step], draftRoute);
      if (step.isNotSent === true) harness.upstream.crashedIds.add('e1');
      await harness.serveToDeadline({ promptParts });
      assert.deepEqual(harness.crashGuard.crashes, []);
      assert.equal(harness.crashGuard.completed, 0);
    }
  });

  it('is not reported by a daemon that reaches no endpoint', async () => {
    const harness = new ForwarderHarness([{ isLost: true }], sampleRoute());
    harness.upstream.crashedIds.add('e1').add('e2').add('e3');
    harness.reachesEndpoints = false;
    await harness.serve();
    assert.deepEqual(harness.crashGuard.crashes, []);
  });

  it('counts as survived only where the framing confirms a complete response', async () => {
    for (const isCloseDelimited of [true, false]) {
      const script = [{ metadata, chunks: [event], isCloseDelimited }];
      const harness = new ForwarderHarness(script, draftRoute);
      await harness.serve({ promptParts });
      const expected = isCloseDelimited ? 0 : 1;
      assert.equal(harness.crashGuard.completed, expected);
      const [served] = harness.crashGuard.completedAt;
      const calledId = harness.upstream.calls[0]?.endpoint.id;
      assert.equal(served?.endpointId, isCloseDelimited ? undefined : calledId);
    }
  });

  it('is rejected as not run while a part of its prompt is blocked', async () => {
    const harness = new ForwarderHarness([{}], draftRoute);
    harness.crashGuard.blockedIds.add('bad');
    const error = await harness.serve({ promptParts });
    assert.equal(error?.kind, ForwardErrorKind.RequestBlocked);
    assert.equal(error.httpStatus, 503);
    assert.equal(error.retryInMs, 60_000);
    assert.equal(harness.upstream.calls.length, 0);
  });
});
