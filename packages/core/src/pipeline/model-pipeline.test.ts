import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { scriptedAnswer, StreamFault } from '../fakes/index.js';
import type { RequestRecord } from '../streams/index.js';
import {
  CALL,
  createEndpoint,
  ENDPOINTS,
  findEndpoint,
  PipelineFixture,
} from './fakes/index.js';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';
import { RunEndedError, RunEndReason } from './run-end.js';

describe('ModelPipeline', () => {
  const connectionFaults = Object.values(StreamFault).map(fault => ({ fault }));
  for (const { fault } of connectionFaults) {
    it(`completes the answer over a connection with fault ${fault}`, async () => {
      const fixture = new PipelineFixture([{ fault, afterTokens: 10 }]);
      await fixture.run();
      fixture.assertWholeAnswer();
      assert.equal(fixture.engine.generateCalls.length, 1);
    });
  }

  it('resumes a silent stream without generating any token twice', async () => {
    const fixture = new PipelineFixture([
      { fault: StreamFault.Silent, afterTokens: 10 },
    ]);
    await fixture.run();
    assert.equal(fixture.engine.resumeCallCount, 1);
    assert.equal(fixture.engine.decodedTokens, 60);
  });

  it('fails over from an endpoint whose connections are all silent', async () => {
    const silent = { fault: StreamFault.Silent, afterTokens: 0 };
    const fixture = new PipelineFixture([
      { fault: StreamFault.Silent, afterTokens: 10 },
      silent,
      silent,
    ]);
    await fixture.run();
    fixture.assertWholeAnswer();
    assert.equal(fixture.engine.generateCalls.length, 2);
    assert.equal(fixture.engine.generateCalls[1]?.request.sentTokens, 10);
  });

  it('regenerates after the sent text when the engine is reclaimed without notice', async () => {
    const fixture = new PipelineFixture();
    await fixture.run(() => {
      if (fixture.tokenCount() === 12)
        fixture.engine.terminatedAddresses.add(fixture.currentAddress());
    });
    fixture.assertWholeAnswer();
    const second = fixture.engine.generateCalls[1]?.request;
    assert.equal(second?.sentTokens, 12);
    assert.equal(second.sentText, scriptedAnswer(CALL).slice(0, 12).join(''));
  });

  it('moves the KV cache out of a data centre under notice before its reclaim', async () => {
    const fixture = new PipelineFixture();
    const reclaimedDataCentre = await fixture.runWithReclaim(1_050);
    fixture.assertWholeAnswer();
    assert.notEqual(
      findEndpoint(fixture.currentAddress()).dataCentre,
      reclaimedDataCentre,
    );
    assert.equal(fixture.engine.cacheCopyCount, 1);
    assert.equal(fixture.engine.generateCalls[1]?.request.sentTokens, 2);
  });

  it('regenerates outside the reclaimed data centre when the notice is too short to move the KV cache', async () => {
    const fixture = new PipelineFixture();
    const reclaimedDataCentre = await fixture.runWithReclaim(100);
    fixture.assertWholeAnswer();
    assert.notEqual(
      findEndpoint(fixture.currentAddress()).dataCentre,
      reclaimedDataCentre,
    );
    assert.equal(fixture.engine.cacheCopyCount, 0);
  });

  it('stays on the endpoint when the answer ends before the reclaim', async () => {
    const fixture = new PipelineFixture();
    fixture.reclaims.replaceNotices([]);
    await fixture.run(() => {
      if (fixture.tokenCount() !== 2) return;
      fixture.reclaims.replaceNotices(
        ENDPOINTS.slice(0, 2).map(({ instanceId }) => ({
          instanceId,
          reclaimAtMs: 5_000,
        })),
      );
    });
    fixture.assertWholeAnswer();
    assert.equal(fixture.engine.generateCalls.length, 1);
  });

  it('continues on the version that generated the text', async () => {
    const fixture = new PipelineFixture(
      [],
      [
        createEndpoint(1, 'north-1', 'v1'),
        createEndpoint(2, 'north-1', 'v2'),
        createEndpoint(3, 'north-2', 'v1'),
        createEndpoint(4, 'north-2', 'v2'),
      ],
    );
    await fixture.run(() => {
      if (fixture.tokenCount() === 5)
        fixture.engine.terminatedAddresses.add(fixture.currentAddress());
    });
    fixture.assertWholeAnswer();
    const isV1 = fixture.engine.generateCalls.map(({ address }) =>
      ['10.0.0.1:80', '10.0.0.3:80'].includes(address),
    );
    assert.equal(isV1.length, 2);
    assert.equal(isV1[0], isV1[1]);
  });

  it('may continue on another version when the first was rolled back', async () => {
    const endpoints = [
      createEndpoint(1, 'north-1', 'v1'),
      createEndpoint(2, 'north-1', 'v2'),
    ];
    const versions = { isTakenBack: () => true };
    const fixture = new PipelineFixture([], endpoints, {
      versionStatus: versions,
    });
    await fixture.run(() => {
      if (fixture.tokenCount() === 5)
        fixture.engine.terminatedAddresses.add(fixture.currentAddress());
    });
    fixture.assertWholeAnswer();
    assert.equal(fixture.engine.generateCalls.length, 2);
  });

  it('refuses at once when no endpoint accepts work', async () => {
    const fixture = new PipelineFixture([], []);
    void fixture.collect(
      fixture.pipeline.run(CALL, new AbortController().signal),
    );
    await fixture.clock.advanceTo(0);
    assert.ok(fixture.error instanceof RequestError);
    assert.equal(fixture.error.outcome, RequestOutcome.NotRun);
    assert.notEqual(fixture.error.retryAtMs, undefined);
  });

  it('fails with a retry time when no endpoint becomes available in time', async () => {
    const fixture = new PipelineFixture([], [createEndpoint(1, 'north-1')]);
    await fixture.run(() => {
      fixture.engine.terminatedAddresses.add('10.0.0.1:80');
    });
    assert.ok(fixture.error instanceof RequestError);
    assert.equal(fixture.error.kind, RequestErrorKind.NoEndpoint);
    assert.equal(fixture.error.outcome, RequestOutcome.Unknown);
    assert.notEqual(fixture.error.retryAtMs, undefined);
  });

  it('does not say "not run" where the only engine took the request and no event arrived', async () => {
    for (const fault of [StreamFault.Broken, StreamFault.Silent]) {
      const plan = { fault, afterTokens: 0 };
      const plans = Array.from({ length: 40 }, () => plan);
      const fixture = new PipelineFixture(plans, [
        createEndpoint(1, 'north-1'),
      ]);
      await fixture.run();
      assert.ok(fixture.error instanceof RequestError);
      assert.equal(fixture.error.outcome, RequestOutcome.Unknown);
    }
  });

  it('does not say "not run" where the engine that took the request cannot be reached again', async () => {
    const fixture = new PipelineFixture([], [createEndpoint(1, 'north-1')]);
    const { signal } = new AbortController();
    void fixture.collect(fixture.pipeline.run(CALL, signal));
    await fixture.clock.advanceTo(10);
    fixture.engine.terminatedAddresses.add('10.0.0.1:80');
    await fixture.clock.advanceTo(60_000);
    assert.equal(fixture.engine.generateCalls.length, 1);
    assert.ok(fixture.error instanceof RequestError);
    assert.equal(fixture.error.outcome, RequestOutcome.Unknown);
  });

  it('goes on with a stream that all engines refuse for seconds, at a bounded rate', async () => {
    const broken = { fault: StreamFault.Broken, afterTokens: 0 };
    const fixture = new PipelineFixture([
      { ...broken, afterTokens: 5 },
      broken,
      broken,
    ]);
    const { clock, engine } = fixture;
    const { signal } = new AbortController();
    const collected = fixture.pipeline.run(CALL, signal);
    void fixture.collect(collected, () => {
      if (fixture.tokenCount() === 5)
        for (const { address } of ENDPOINTS) engine.fullAddresses.add(address);
    });
    await clock.advanceTo(20_000);
    // Eight refusals at once, then one in each 100 ms.
    assert.ok(engine.refusalCount > 8 && engine.refusalCount <= 210);
    engine.fullAddresses.clear();
    await clock.advanceTo(60_000);
    fixture.assertWholeAnswer();
  });

  it('says "not run" where the only engine refused the request', async () => {
    const fixture = new PipelineFixture([], [createEndpoint(1, 'north-1')]);
    fixture.engine.terminatedAddresses.add('10.0.0.1:80');
    await fixture.run();
    assert.ok(fixture.error instanceof RequestError);
    assert.equal(fixture.error.outcome, RequestOutcome.NotRun);
  });

  it('continues from a record that another daemon handed off', async () => {
    const first = new PipelineFixture();
    const abortController = new AbortController();
    void first.collect(first.pipeline.run(CALL, abortController.signal));
    await first.clock.advanceTo(200);
    abortController.abort(new RunEndedError(RunEndReason.Detached));
    await first.clock.advanceTo(210);
    const name = { workspace: 'northside', requestId: CALL.requestId };
    const record = first.records.find(name, 210);
    assert.equal(record?.tokens, 10);
    assert.equal(first.engine.cancelledStreamIds.size, 0);
    await assertOutcomeFrom(record);
  });

  it('cancels the stream on the engine of a cancelled request', async () => {
    const fixture = new PipelineFixture();
    void fixture.collect(
      fixture.pipeline.run(CALL, new AbortController().signal),
    );
    await fixture.clock.advanceTo(200);
    const name = { workspace: 'northside', requestId: CALL.requestId };
    assert.equal(fixture.pipeline.cancel(name), true);
    await fixture.clock.advanceTo(210);
    assert.equal(fixture.isDone, true);
    assert.equal(fixture.engine.cancelledStreamIds.size, 1);
    assert.equal(fixture.pipeline.cancel(name), false);
  });
});

/** Asserts that a daemon with only the record, whose engine is unavailable, returns the whole answer. */
async function assertOutcomeFrom(record: RequestRecord): Promise<void> {
  const second = new PipelineFixture();
  second.engine.terminatedAddresses.add(record.address ?? '');
  second.records.put(record, 0);
  const { signal } = new AbortController();
  void second.collect(second.pipeline.outcome(record.work, signal));
  await second.clock.advanceTo(30_000);
  second.assertWholeAnswer();
  assert.equal(second.engine.generateCalls[0]?.request.sentTokens, 10);
}
