import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { RouteType } from './configuration.js';
import type { ScriptedResponse } from './fakes/index.js';
import { ForwarderHarness, sampleRoute } from './fakes/index.js';
import { ForwardErrorKind } from './forward-error.js';

const postingRoute = sampleRoute({
  name: 'postings',
  pathPrefix: '/postings/',
  type: RouteType.NonIdempotent,
  maxAttempts: 3,
});
const refusal: ScriptedResponse = { status: 503, metadata: { isNotRun: true } };

describe('a refusal through the forwarder', () => {
  it('does not take the refusal of another request for one of a non-idempotent request', async () => {
    for (const requestId of ['another', undefined]) {
      const misleading: readonly ScriptedResponse[] = [
        { status: 503, metadata: { isNotRun: true, requestId } },
        { status: 421, metadata: { isMisdirected: true, requestId } },
      ];
      for (const step of misleading) {
        const harness = new ForwarderHarness([step, {}], postingRoute);
        const error = await harness.serve();
        assert.equal(error?.kind, ForwardErrorKind.EndpointFailed);
        assert.equal(error.retryInMs, undefined);
        assert.equal(harness.upstream.calls.length, 1);
      }
    }
  });

  it('does not exclude an endpoint for a redirection that belongs to another request', async () => {
    const step: ScriptedResponse = {
      status: 421,
      metadata: { isMisdirected: true, requestId: 'another' },
    };
    const harness = new ForwarderHarness([step], postingRoute);
    await harness.serve();
    const ready = harness.pool.readyEndpoints('ledger', harness.clock.nowMs());
    assert.equal(ready.length, 3);
  });

  it('tells the guard of a rejection, and of nothing that another request was answered', async () => {
    const maxRejectionsPerSecond = 4;
    const metadata = { isNotRun: true, maxRejectionsPerSecond };
    const own = new ForwarderHarness([{ status: 503, metadata }], postingRoute);
    await own.serve();
    assert.deepEqual(own.guardedResponses[0], {
      isRejection: true,
      maxRejectionsPerSecond,
    });
    const other = { ...metadata, requestId: 'another' };
    const copied = new ForwarderHarness(
      [{ status: 503, metadata: other }],
      postingRoute,
    );
    await copied.serve();
    assert.deepEqual(copied.guardedResponses, []);
  });

  it('sends nothing more to an endpoint that says that it is leaving, unless it answers another request', async () => {
    const steps: readonly ScriptedResponse[] = [
      { status: 503, metadata: { isNotRun: true, isLeaving: true } },
      { status: 500, metadata: { isLeaving: true } },
      { status: 503, metadata: { isLeaving: true } },
      { metadata: { isLeaving: true } },
    ];
    for (const step of steps) {
      const harness = new ForwarderHarness([step], postingRoute, {
        endpoints: ['e1'],
      });
      await harness.serve();
      assert.equal(harness.pool.isReady('e1', harness.clock.nowMs()), false);
    }
    const metadata = { isLeaving: true, requestId: 'another' };
    const harness = new ForwarderHarness([{ metadata }], postingRoute);
    await harness.serve();
    const ready = harness.pool.readyEndpoints('ledger', harness.clock.nowMs());
    assert.equal(ready.length, 3);
  });

  it('sends nothing to an endpoint before the end of a pause that it asks for, unless it answers another request', async () => {
    const pauseMs = 700;
    const steps: readonly ScriptedResponse[] = [
      { status: 503, metadata: { isNotRun: true, pauseMs } },
      { status: 503, metadata: { pauseMs } },
    ];
    for (const step of steps) {
      const harness = new ForwarderHarness([step, {}], postingRoute, {
        endpoints: ['e1'],
      });
      await harness.serve();
      const error = await harness.serve();
      assert.equal(error?.kind, ForwardErrorKind.Overloaded);
      assert.equal(error.retryInMs, pauseMs);
      assert.equal(harness.upstream.calls.length, 1);
      await harness.clock.advanceTo(harness.clock.nowMs() + pauseMs);
      assert.equal(await harness.serve(), undefined);
    }
    const metadata = { isNotRun: true, pauseMs, requestId: 'another' };
    const harness = new ForwarderHarness(
      [{ status: 503, metadata }],
      postingRoute,
    );
    await harness.serve();
    assert.equal(harness.pool.busyForMs('ledger', 0), undefined);
  });

  it('sends a non-idempotent request to an endpoint once, as a copy of the first refusal may answer the second attempt', async () => {
    const harness = new ForwarderHarness([refusal], postingRoute, {
      endpoints: ['e1'],
    });
    const error = await harness.serve();
    assert.equal(error?.kind, ForwardErrorKind.Overloaded);
    assert.equal(harness.upstream.calls.length, 1);
  });

  it('sends a non-idempotent request again to an endpoint that it did not reach', async () => {
    const harness = new ForwarderHarness(
      [{ isNotSent: true }, {}],
      postingRoute,
      { endpoints: ['e1'] },
    );
    assert.equal(await harness.serve(), undefined);
    assert.equal(harness.upstream.calls.length, 2);
  });
});
