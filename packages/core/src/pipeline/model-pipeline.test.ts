import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { scriptedAnswer, StreamFault } from '../fakes/index.js';
import type { RequestRecord } from '../streams/index.js';
import {
  CALL,
  endpoint,
  endpointAt,
  ENDPOINTS,
  PipelineBench,
} from './fakes/index.js';
import {
  RequestError,
  RequestErrorKind,
  RequestOutcome,
} from './request-error.js';
import { RunEnd, RunEndedError } from './run-end.js';

describe('the model pipeline', () => {
  const connectionFaults = Object.values(StreamFault).map(fault => ({ fault }));
  for (const { fault } of connectionFaults) {
    it(`gives a whole answer over a connection with fault ${fault}`, async () => {
      const bench = new PipelineBench([{ fault, afterTokens: 10 }]);
      await bench.run();
      bench.expectWhole();
      assert.equal(bench.engine.generateCalls.length, 1);
    });
  }

  it('resumes a silent stream and generates nothing twice', async () => {
    const bench = new PipelineBench([
      { fault: StreamFault.Silent, afterTokens: 10 },
    ]);
    await bench.run();
    assert.equal(bench.engine.resumeCalls, 1);
    assert.equal(bench.engine.decodedTokens, 60);
  });

  it('leaves an endpoint all of whose connections are silent', async () => {
    const silent = { fault: StreamFault.Silent, afterTokens: 0 };
    const bench = new PipelineBench([
      { fault: StreamFault.Silent, afterTokens: 10 },
      silent,
      silent,
    ]);
    await bench.run();
    bench.expectWhole();
    assert.equal(bench.engine.generateCalls.length, 2);
    assert.equal(bench.engine.generateCalls[1]?.request.sentTokens, 10);
  });

  it('regenerates after the text sent where the engine is taken without notice', async () => {
    const bench = new PipelineBench();
    await bench.run(() => {
      if (bench.tokens() === 12) bench.engine.gone.add(bench.addressInUse());
    });
    bench.expectWhole();
    const second = bench.engine.generateCalls[1]?.request;
    assert.equal(second?.sentTokens, 12);
    assert.equal(second.sentText, scriptedAnswer(CALL).slice(0, 12).join(''));
  });

  it('moves the cache out of a doomed data centre in time', async () => {
    const bench = new PipelineBench();
    const left = await bench.runThroughReclaim(1_050);
    bench.expectWhole();
    assert.notEqual(endpointAt(bench.addressInUse()).dataCentre, left);
    assert.equal(bench.engine.cacheMoves, 1);
    assert.equal(bench.engine.generateCalls[1]?.request.sentTokens, 2);
  });

  it('regenerates outside the doomed data centre where time is short', async () => {
    const bench = new PipelineBench();
    const left = await bench.runThroughReclaim(100);
    bench.expectWhole();
    assert.notEqual(endpointAt(bench.addressInUse()).dataCentre, left);
    assert.equal(bench.engine.cacheMoves, 0);
  });

  it('stays where the answer ends before the reclaim', async () => {
    const bench = new PipelineBench();
    bench.reclaims.replaceNotices([]);
    await bench.run(() => {
      if (bench.tokens() !== 2) return;
      bench.reclaims.replaceNotices(
        ENDPOINTS.slice(0, 2).map(({ instanceId }) => ({
          instanceId,
          reclaimAtMs: 5_000,
        })),
      );
    });
    bench.expectWhole();
    assert.equal(bench.engine.generateCalls.length, 1);
  });

  it('keeps to the version that made the text', async () => {
    const bench = new PipelineBench(
      [],
      [
        endpoint(1, 'north-1', 'v1'),
        endpoint(2, 'north-1', 'v2'),
        endpoint(3, 'north-2', 'v1'),
        endpoint(4, 'north-2', 'v2'),
      ],
    );
    await bench.run(() => {
      if (bench.tokens() === 5) bench.engine.gone.add(bench.addressInUse());
    });
    bench.expectWhole();
    const isV1 = bench.engine.generateCalls.map(({ address }) =>
      ['10.0.0.1:80', '10.0.0.3:80'].includes(address),
    );
    assert.equal(isV1.length, 2);
    assert.equal(isV1[0], isV1[1]);
  });

  it('changes the version where it was taken back', async () => {
    const endpoints = [
      endpoint(1, 'north-1', 'v1'),
      endpoint(2, 'north-1', 'v2'),
    ];
    const versions = { isTakenBack: () => true };
    const bench = new PipelineBench([], endpoints, { versions });
    await bench.run(() => {
      if (bench.tokens() === 5) bench.engine.gone.add(bench.addressInUse());
    });
    bench.expectWhole();
    assert.equal(bench.engine.generateCalls.length, 2);
  });

  it('refuses at once where no endpoint takes work', async () => {
    const bench = new PipelineBench([], []);
    void bench.follow(bench.pipeline.run(CALL, new AbortController().signal));
    await bench.clock.advanceTo(0);
    assert.ok(bench.error instanceof RequestError);
    assert.equal(bench.error.outcome, RequestOutcome.NotRun);
    assert.notEqual(bench.error.retryAtMs, undefined);
  });

  it('gives up with Retry-After once no endpoint came back in time', async () => {
    const bench = new PipelineBench([], [endpoint(1, 'north-1')]);
    await bench.run(() => {
      bench.engine.gone.add('10.0.0.1:80');
    });
    assert.ok(bench.error instanceof RequestError);
    assert.equal(bench.error.kind, RequestErrorKind.NoEndpoint);
    assert.equal(bench.error.outcome, RequestOutcome.Unknown);
    assert.notEqual(bench.error.retryAtMs, undefined);
  });

  it('goes on from a record that another daemon handed off', async () => {
    const first = new PipelineBench();
    const caller = new AbortController();
    void first.follow(first.pipeline.run(CALL, caller.signal));
    await first.clock.advanceTo(200);
    caller.abort(new RunEndedError(RunEnd.Left));
    await first.clock.advanceTo(210);
    const name = { workspace: 'northside', requestId: CALL.requestId };
    const record = first.records.find(name, 210);
    assert.equal(record?.tokens, 10);
    assert.equal(first.engine.cancelled.size, 0);
    await expectOutcomeFrom(record);
  });

  it('stops the engine of a cancelled request', async () => {
    const bench = new PipelineBench();
    void bench.follow(bench.pipeline.run(CALL, new AbortController().signal));
    await bench.clock.advanceTo(200);
    const name = { workspace: 'northside', requestId: CALL.requestId };
    assert.equal(bench.pipeline.cancel(name), true);
    await bench.clock.advanceTo(210);
    assert.equal(bench.done, true);
    assert.equal(bench.engine.cancelled.size, 1);
    assert.equal(bench.pipeline.cancel(name), false);
  });
});

/** A daemon that holds only the record, whose engine is gone, gives the whole answer. */
async function expectOutcomeFrom(record: RequestRecord): Promise<void> {
  const second = new PipelineBench();
  second.engine.gone.add(record.address ?? '');
  second.records.put(record, 0);
  const { signal } = new AbortController();
  void second.follow(second.pipeline.outcome(record.work, signal));
  await second.clock.advanceTo(30_000);
  second.expectWhole();
  assert.equal(second.engine.generateCalls[0]?.request.sentTokens, 10);
}
