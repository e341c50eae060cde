import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { EndpointMode } from '@skylarkreach/platform/stand-ins';

import { GatewayBench, until } from './gateway-bench.js';

describe('attempts at workers', () => {
  let bench: GatewayBench;

  beforeEach(async () => {
    bench = new GatewayBench();
    await bench.start();
  });

  afterEach(async () => {
    await bench.stop();
  });

  it('repeats a look-up elsewhere when an answer is lost', async () => {
    const [first, second] = bench.deployment.workers;
    if (first !== undefined) first.mode = EndpointMode.DropsResponses;
    if (second !== undefined) second.mode = EndpointMode.Responds;
    for (let count = 0; count < 6; count += 1) {
      assert.equal(await bench.statusOf(`/lookups/${count}`), 200);
    }
  });

  it('sends a posting once, whatever happens to its answer', async () => {
    for (const worker of bench.deployment.workers) {
      worker.mode = EndpointMode.DropsResponses;
    }
    const answer = await bench.send('/postings/a', {}, { body: '{}' });
    assert.equal(answer.statusCode, 502);
    assert.equal(answer.headers['retry-after'], undefined);
    assert.equal(bench.runs().length, 1);
  });

  it('tells a caller when to come back where nothing ran', async () => {
    for (const worker of bench.deployment.workers)
      worker.mode = EndpointMode.ShedsLoad;
    const answer = await bench.send('/postings/a', {}, { body: '{}' });
    assert.equal(answer.statusCode, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(bench.runs().length, 0);
  });

  it('does not hand on an answer that belongs to another request', async () => {
    for (const worker of bench.deployment.workers)
      worker.mode = EndpointMode.MismatchesRequestId;
    const answer = await bench.send('/postings/a', {}, { body: '{}' });
    assert.equal(answer.statusCode, 502);
  });

  it('takes an answer without a length for whole only where its connection is not reset', async () => {
    for (const worker of bench.deployment.workers) {
      worker.mode = EndpointMode.EndsCloseDelimited;
    }
    const whole = await bench.send('/postings/a', {}, { body: '{}' });
    assert.equal(whole.statusCode, 200);
    assert.equal(await whole.body.text(), 'first part and the rest');
    // It ends with the connection here too: nobody can tell whether it is whole.
    assert.equal(whole.headers['transfer-encoding'], undefined);
    assert.equal(whole.headers['content-length'], undefined);
    assert.equal(whole.headers.connection, 'close');
    for (const worker of bench.deployment.workers) {
      worker.mode = EndpointMode.ResetsCloseDelimited;
    }
    const cut = await bench.send('/postings/b', {}, { body: '{}' });
    assert.equal(cut.statusCode, 502);
    await cut.body.dump();
  });

  it('gives the final answer at the route’s timeout', async () => {
    for (const worker of bench.deployment.workers)
      worker.mode = EndpointMode.Hangs;
    const answer = await bench.send(
      '/postings/a',
      { 'deadline-ms': '300' },
      { body: '{}' },
    );
    assert.equal(answer.statusCode, 504);
  });

  it('cancels at the worker when the caller leaves', async () => {
    for (const worker of bench.deployment.workers)
      worker.mode = EndpointMode.Hangs;
    const leaving = new AbortController();
    const sent = bench.send(
      '/postings/a',
      {},
      { body: '{}', signal: leaving.signal },
    );
    await until(() => bench.runs().length === 1);
    leaving.abort();
    await assert.rejects(sent);
    await until(() =>
      bench.deployment.workers.some(each => each.abortedRequestIds.length > 0),
    );
  });

  it('goes on with a broken stream after its last whole event', async () => {
    const [, , first, second] = bench.deployment.workers;
    if (first !== undefined) first.mode = EndpointMode.AbortsStreams;
    if (second !== undefined) second.mode = EndpointMode.AbortsStreams;
    const { body, statusCode } = await bench.send('/drafts/a', {
      model: 'm',
      'token-usage': '100,20',
      'prompt-prefix': 'aa:60,bb:40',
      'deadline-ms': '8000',
    });
    assert.equal(statusCode, 200);
    const ids = [...(await body.text()).matchAll(/id: (\d+)/g)].map(each =>
      Number(each[1]),
    );
    assert.deepEqual(ids, [1, 2, 3, 4]);
    const resumedAfter = bench.runs().map(run => run.headers['last-event-id']);
    assert.deepEqual(resumedAfter.sort(), ['2', undefined]);
  });
});
