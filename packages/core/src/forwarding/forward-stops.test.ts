import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { RouteType } from './configuration.js';
import type { ScriptedResponse } from './fakes/index.js';
import { ForwarderHarness, sampleRoute } from './fakes/index.js';
import { daemonStoppingError, ForwardErrorKind } from './forward-error.js';

const postingRoute = sampleRoute({
  name: 'postings',
  pathPrefix: '/postings/',
  type: RouteType.NonIdempotent,
  maxAttempts: 3,
});
const streamRoute = sampleRoute({
  name: 'drafts',
  pathPrefix: '/drafts/',
  type: RouteType.Streaming,
});
const refusal: ScriptedResponse = { status: 503, metadata: { isNotRun: true } };

describe('a request whose caller leaves', () => {
  it('is sent to no endpoint where its caller left before it is forwarded', async () => {
    const harness = new ForwarderHarness([{}], sampleRoute());
    harness.callerAbort.abort();
    assert.equal(await harness.serve(), undefined);
    assert.equal(harness.upstream.calls.length, 0);
  });

  it('ends at once, also while its client waits for a connection', async () => {
    const harness = new ForwarderHarness([{}], sampleRoute());
    harness.upstream.send = () => new Promise(() => undefined);
    const served = harness.serve();
    harness.callerAbort.abort();
    assert.equal(await served, undefined);
  });
});

describe('a request of a daemon that stops', () => {
  it('is not sent if it may last beyond the end of the daemon', async () => {
    const harness = new ForwarderHarness([{}], postingRoute);
    harness.latestDeadlineAtMs = harness.clock.nowMs();
    const error = await harness.serve();
    assert.equal(error?.kind, ForwardErrorKind.Stopping);
    assert.equal(error.retryInMs, 0);
    assert.equal(harness.upstream.calls.length, 0);
  });

  it('is not sent a second time after the stop if it must not be repeated', async () => {
    const harness = new ForwarderHarness([refusal, {}], postingRoute);
    const served = harness.serve();
    harness.latestDeadlineAtMs = harness.clock.nowMs();
    const error = await served;
    assert.equal(error?.kind, ForwardErrorKind.Stopping);
    assert.equal(harness.upstream.calls.length, 1);
  });

  it('is sent a second time after the stop if it may be repeated', async () => {
    const harness = new ForwarderHarness([refusal, {}], sampleRoute());
    const served = harness.serve();
    harness.latestDeadlineAtMs = harness.clock.nowMs();
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls.length, 2);
  });

  it('gets an error that promises nothing if it is ended while an endpoint may run it', async () => {
    const harness = new ForwarderHarness([{ isHanging: true }], postingRoute);
    const served = harness.serve();
    harness.callerAbort.abort(daemonStoppingError());
    const error = await served;
    assert.equal(error?.kind, ForwardErrorKind.EndpointFailed);
    assert.equal(error.retryInMs, undefined);
  });

  it('gets an error that says that it did not run if it is ended after endpoints refused it', async () => {
    const harness = new ForwarderHarness([refusal], postingRoute);
    const served = harness.serve();
    harness.callerAbort.abort(daemonStoppingError());
    const error = await served;
    assert.equal(error?.kind, ForwardErrorKind.Stopping);
    assert.equal(harness.upstream.calls.length, 1);
  });

  it('is cut visibly if it is ended within a stream', async () => {
    const harness = new ForwarderHarness(
      [
        {
          metadata: { isEventStream: true },
          chunks: ['id: 1\ndata: a\n\n'],
          isHanging: true,
        },
      ],
      streamRoute,
    );
    const served = harness.serve();
    await new Promise(resolve => setImmediate(resolve));
    harness.callerAbort.abort(daemonStoppingError());
    assert.equal(await served, undefined);
    assert.equal(harness.sink.status, 200);
    assert.equal(harness.sink.isEnded, false);
    assert.equal(harness.sink.isDestroyed, true);
  });
});
