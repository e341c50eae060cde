import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  ForwarderHarness,
  sampleConfiguration,
  sampleEndpoint,
  sampleRoute,
  ScriptedGate,
} from './fakes/index.js';
import { ForwardError, ForwardErrorKind } from './forward-error.js';

const route = sampleRoute({ priority: 12, timeoutMs: 2_000 });

function create(options = {}) {
  const gate = new ScriptedGate();
  const harness = new ForwarderHarness([{}], route, {
    dispatchGate: gate,
    ...options,
  });
  return { gate, harness };
}

describe('a request that waits for capacity', () => {
  it('is sent once it may be, to an endpoint that is listed then', async () => {
    const { gate, harness } = create();
    const served = harness.serve();
    await harness.clock.advanceTo(1_500);
    assert.equal(harness.upstream.calls.length, 0);
    harness.listRecords([sampleEndpoint('new')]);
    gate.sendNext();
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls[0]?.endpoint.id, 'new');
    assert.equal(gate.closed, 1);
    const [call] = gate.calls;
    assert.equal(call?.objectiveAtMs, 1_000 + route.latencyObjectiveMs);
    assert.equal(call.deadlineAtMs, 3_000);
  });

  it('gets the refusal of the queue, and frees its place', async () => {
    const { gate, harness } = create();
    const served = harness.serve();
    const kind = ForwardErrorKind.Overloaded;
    gate.refuseNext(new ForwardError(kind, 'full', 250));
    const error = await served;
    assert.equal(error?.retryInMs, 250);
    assert.equal(harness.upstream.calls.length, 0);
    assert.equal(gate.closed, 1);
  });

  it('is not sent after its caller has left, nor after its deadline', async () => {
    const left = create();
    const served = left.harness.serve();
    left.harness.callerAbort.abort();
    assert.equal(await served, undefined);
    left.gate.sendNext();
    assert.equal(left.harness.upstream.calls.length, 0);
    const late = create();
    const serving = late.harness.serve();
    await late.harness.clock.advanceTo(3_500);
    const error = await serving;
    assert.equal(error?.kind, ForwardErrorKind.TimedOutNotRun);
    assert.equal(late.harness.upstream.calls.length, 0);
  });

  it('gives its endpoint back if its caller leaves as it is sent', async () => {
    const { gate, harness } = create();
    const served = harness.serve();
    gate.sendNext();
    harness.callerAbort.abort();
    await served;
    assert.equal(harness.upstream.calls.length, 0);
    assert.equal(harness.pool.ownLoad().size, 0);
  });

  it('is checked again for what may have changed meanwhile', async () => {
    const { gate, harness } = create();
    const served = harness.serve();
    const [call] = gate.calls;
    assert.doesNotThrow(() => {
      call?.recheck();
    });
    harness.crashGuard.blockAll = true;
    assert.throws(() => {
      call?.recheck();
    }, ForwardError);
    harness.callerAbort.abort();
    await served;
  });

  // Its home regions were those of its arrival, so that it reached endpoints outside the present ones.
  it('is no longer admitted once its home regions exclude some that it had', async () => {
    const changes = [
      [undefined, ['north'], true],
      [['north', 'south'], ['north'], true],
      [['north'], ['north', 'south'], false],
      [['north'], undefined, false],
    ] as const;
    for (const [before, after, isRefused] of changes) {
      const gate = new ScriptedGate();
      const options = { dispatchGate: gate };
      const arrived = { ...route, homeRegions: before };
      const harness = new ForwarderHarness([{}], arrived, options);
      const served = harness.serve();
      const routes = [{ ...route, homeRegions: after }];
      harness.configuration.apply(sampleConfiguration(routes, { version: 2 }));
      const recheck = () => {
        gate.calls[0]?.recheck();
      };
      if (isRefused) assert.throws(recheck, ForwardError);
      else assert.doesNotThrow(recheck);
      harness.callerAbort.abort();
      await served;
    }
  });

  it('is refused as not run if its home data centres are evacuated as it waits', async () => {
    const { gate, harness } = create();
    const served = harness.serve();
    const recheck = () => {
      gate.calls[0]?.recheck();
    };
    harness.evacuations.apply({ revision: 1, dataCentres: ['south-1'] });
    assert.doesNotThrow(recheck);
    harness.evacuations.apply({ revision: 2, dataCentres: ['north-1'] });
    assert.throws(recheck, { kind: ForwardErrorKind.Evacuated });
    harness.callerAbort.abort();
    await served;
  });

  // Tokens that were deducted on arrival let requests reach endpoints together with later ones, beyond the rate limit.
  it('uses tokens once it is sent, and none if the queue refuses it', async () => {
    const tokenRate = {
      tokensPerSecond: 1,
      burstTokens: 1_000,
      plainTokens: 0,
    };
    const usage = { promptTokens: 900, maxTokens: 0 };
    const { gate, harness } = create({ tokenRate });
    const refused = harness.serve({ usage });
    gate.refuseNext(new ForwardError(ForwardErrorKind.Overloaded, 'full', 250));
    assert.equal((await refused)?.kind, ForwardErrorKind.Overloaded);
    const first = harness.serve({ usage });
    const second = harness.serve({ usage });
    gate.sendNext();
    assert.equal(await first, undefined);
    gate.sendNext();
    assert.equal((await second)?.kind, ForwardErrorKind.AllowanceSpent);
    assert.equal(harness.upstream.calls.length, 1);
    assert.equal(harness.pool.ownLoad().size, 0);
    const third = await harness.serve({ usage });
    assert.equal(third?.kind, ForwardErrorKind.AllowanceSpent);
    assert.deepEqual(harness.tokenBuckets.grantedTotals(), { kowhai: 900 });
  });

  // It had used a part of the endpoint's own rate limit, and of what cold endpoints get.
  it('does not count against an endpoint if its tokens are used up as it leaves the queue', async () => {
    const tokenRate = {
      tokensPerSecond: 1,
      burstTokens: 1_000,
      plainTokens: 0,
    };
    const usage = { promptTokens: 900, maxTokens: 0 };
    const { gate, harness } = create({ tokenRate });
    const served = [harness.serve({ usage }), harness.serve({ usage })];
    // Both leave the queue in the same turn.
    gate.sendNext();
    gate.sendNext();
    const errors = await Promise.all(served);
    assert.deepEqual(
      errors.map(error => error?.kind),
      [undefined, ForwardErrorKind.AllowanceSpent],
    );
    assert.equal(harness.limitedIds.length, 1);
  });

  it('uses no tokens if no endpoint takes it', async () => {
    const tokenRate = {
      tokensPerSecond: 1,
      burstTokens: 1_000,
      plainTokens: 0,
    };
    const usage = { promptTokens: 900, maxTokens: 0 };
    const { gate, harness } = create({ tokenRate });
    const served = harness.serve({ usage });
    harness.listEndpoints([]);
    gate.sendNext();
    assert.equal((await served)?.kind, ForwardErrorKind.NoEndpoint);
    assert.deepEqual(harness.tokenBuckets.grantedTotals(), {});
  });

  // Each of its attempts that was rejected could halve the limit in flight once more.
  it('counts as rejected once, however many endpoints reject it', async () => {
    const gate = new ScriptedGate();
    const refusal = { status: 503, metadata: { isNotRun: true } };
    const harness = new ForwarderHarness(
      [refusal, refusal, {}],
      { ...route, maxAttempts: 3 },
      { dispatchGate: gate },
    );
    const served = harness.serve();
    gate.sendNext();
    assert.equal(await served, undefined);
    assert.equal(harness.upstream.calls.length, 3);
    assert.equal(gate.rejections, 1);
  });

  it('tells engines its priority only where that is set, at most 9', async () => {
    for (const sendsPriority of [false, true]) {
      const harness = new ForwarderHarness([{}], route, { sendsPriority });
      await harness.serve();
      const headers = harness.upstream.calls[0]?.headers ?? [];
      const index = headers.indexOf('Urgency');
      assert.equal(headers[index + 1], sendsPriority ? '9' : 'Request-Id');
      assert.equal(index >= 0, sendsPriority);
    }
  });
});
