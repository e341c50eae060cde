import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { FaultPlan } from '../fakes/index.js';
import {
  CLAIM_DEADLINE_MS,
  CLAIM_RESPONSE,
  ClaimFixture,
  createIntent,
  Fault,
} from '../fakes/index.js';
import type { ServiceOutcome, ServiceResponse } from '../ports/index.js';
import { AnswerLostError, ServiceOutcomeKind } from '../ports/index.js';
import { ClaimError, ClaimErrorKind, ClaimState } from './claims.js';
import { ownerOfShard } from './shard-owners.js';

const NEVER = new Promise<never>(() => undefined);
const FIRST = '10.0.0.1:80';
const SECOND = '10.0.0.2:80';

function isErrorOfKind(kind: ClaimErrorKind) {
  return (error: unknown) => error instanceof ClaimError && error.kind === kind;
}

function succeed(): Promise<ServiceResponse> {
  return Promise.resolve(CLAIM_RESPONSE);
}

function rejectDispatch(): Promise<ServiceResponse> {
  return Promise.reject(new Error('dispatched'));
}

function loseResponse(): Promise<ServiceResponse> {
  return Promise.reject(new AnswerLostError('lost'));
}

function reportOutcome(
  kind: ServiceOutcomeKind,
): () => Promise<ServiceOutcome> {
  return () => Promise.resolve({ kind, response: CLAIM_RESPONSE });
}

/** Returns a plan that injects one fault at the given call of the operation, counted from 1. */
function injectFaultOnce(
  operation: string,
  callNumber: number,
  fault: Fault,
): FaultPlan {
  let calls = 0;
  return name => {
    if (name === operation) calls += 1;
    return name === operation && calls === callNumber ? fault : Fault.None;
  };
}

describe('JournalClaims under faults', () => {
  it('reads a claim back after a lost write or response, and dispatches once', async () => {
    for (const fault of [Fault.AnswerLost, Fault.CallLost]) {
      const daemons = new ClaimFixture();
      let count = 0;
      const run = daemons
        .addDaemon('daemon-1', injectFaultOnce('put', 1, fault))
        .run(createIntent('key-1'), () => {
          count += 1;
          return succeed();
        });
      await daemons.clock.advanceTo(2_000);
      assert.deepEqual(await run, CLAIM_RESPONSE);
      assert.equal(count, 1);
    }
  });

  it('returns the outcome from the service to a retry before its deadline if the daemon of the run has failed', async () => {
    const daemons = new ClaimFixture();
    void daemons.addDaemon('daemon-1').run(createIntent('key-1'), () => NEVER);
    await daemons.clock.advanceTo(2_000);
    const retry = daemons
      .addDaemon('daemon-2')
      .run(
        createIntent('key-1'),
        rejectDispatch,
        reportOutcome(ServiceOutcomeKind.Ran),
      );
    await daemons.clock.advanceTo(CLAIM_DEADLINE_MS / 2);
    const inTime = Promise.race([retry, Promise.resolve('waiting')]);
    assert.deepEqual(await inTime, CLAIM_RESPONSE);
  });

  it('rejects at once while the key-value service is unavailable, and sends nothing', async () => {
    const daemons = new ClaimFixture();
    await assert.rejects(
      daemons
        .addDaemon('daemon-1', () => Fault.Down)
        .run(createIntent('key-1'), rejectDispatch),
      isErrorOfKind(ClaimErrorKind.StoreUnavailable),
    );
  });

  it('sends during an outage if the service deduplicates calls by key', async () => {
    const daemons = new ClaimFixture();
    const intent = createIntent('key-1', { deduplicatedByService: true });
    const claims = daemons.addDaemon('daemon-1', () => Fault.Down);
    const run = claims.run(intent, succeed);
    await daemons.clock.advanceTo(2_000);
    assert.deepEqual(await run, CLAIM_RESPONSE);
  });

  it('does not dispatch after a pause beyond the dispatch window, and releases the key', async () => {
    const daemons = new ClaimFixture();
    const { clock, store } = daemons;
    const paused = daemons.createDaemon('daemon-1', {
      get: key => store.get(key),
      list: prefix => store.list(prefix),
      watch: () => NEVER,
      acquireLease: request => store.acquireLease(request),
      releaseLease: lease => store.releaseLease(lease),
      put: async request => {
        const result = await store.put(request);
        await clock.waitUntil(4_000);
        return result;
      },
    });
    const rejection = assert.rejects(
      paused.run(createIntent('key-1'), rejectDispatch),
      isErrorOfKind(ClaimErrorKind.NotRun),
    );
    await clock.advanceTo(3_500);
    const other = daemons.addDaemon('daemon-2');
    const found = await other.find('northside', 'key-1');
    assert.equal(found?.state, ClaimState.Dispatched);
    const retry = other.run(createIntent('key-1'), succeed);
    await clock.advanceTo(12_000);
    await rejection;
    assert.deepEqual(await retry, CLAIM_RESPONSE);
  });

  it('never reruns the claim of a killed daemon, and reports its outcome as unknown', async () => {
    const daemons = new ClaimFixture();
    void daemons.addDaemon('daemon-1').run(createIntent('key-1'), () => NEVER);
    await daemons.clock.advanceTo(2_000);
    const other = daemons.addDaemon('daemon-2');
    const intent = createIntent('key-1', {
      deadlineAtMs: CLAIM_DEADLINE_MS * 2,
    });
    const retry = assert.rejects(
      other.run(intent, rejectDispatch),
      isErrorOfKind(ClaimErrorKind.OutcomeUnknown),
    );
    await daemons.clock.advanceTo(CLAIM_DEADLINE_MS + 1_000);
    await retry;
    const found = await other.find('northside', 'key-1');
    assert.equal(found?.state, ClaimState.Unknown);
  });

  it("queries the service for the outcome of a killed daemon's run, and records it", async () => {
    const daemons = new ClaimFixture();
    void daemons.addDaemon('daemon-1').run(createIntent('key-1'), () => NEVER);
    await daemons.clock.advanceTo(2_000);
    const other = daemons.addDaemon('daemon-2');
    const intent = createIntent('key-1', {
      deadlineAtMs: CLAIM_DEADLINE_MS * 2,
    });
    const retry = other.run(
      intent,
      rejectDispatch,
      reportOutcome(ServiceOutcomeKind.Ran),
    );
    await daemons.clock.advanceTo(CLAIM_DEADLINE_MS + 1_000);
    assert.deepEqual(await retry, CLAIM_RESPONSE);
    const found = await other.find('northside', 'key-1');
    assert.equal(found?.state, ClaimState.Ran);
  });

  it('accepts from the service that a lost call ran, but not that it did not run', async () => {
    const daemons = new ClaimFixture();
    const claims = daemons.addDaemon('daemon-1');
    const isOutcomeUnknown = isErrorOfKind(ClaimErrorKind.OutcomeUnknown);
    const { NotRun, Ran } = ServiceOutcomeKind;
    const ran = claims.run(
      createIntent('key-1'),
      loseResponse,
      reportOutcome(Ran),
    );
    const lost = claims.run(
      createIntent('key-2'),
      loseResponse,
      reportOutcome(NotRun),
    );
    const rejection = assert.rejects(lost, isOutcomeUnknown);
    await daemons.clock.advanceTo(2_000);
    assert.deepEqual(await ran, CLAIM_RESPONSE);
    await rejection;
    const retry = claims.run(createIntent('key-2'), rejectDispatch);
    const retryRejection = assert.rejects(retry, isOutcomeUnknown);
    await daemons.clock.advanceTo(4_000);
    await retryRejection;
  });

  it('records an outcome that an outage delayed, so that a retry gets the response', async () => {
    const daemons = new ClaimFixture();
    let isDown = false;
    const claims = daemons.addDaemon('daemon-1', () =>
      isDown ? Fault.Down : Fault.None,
    );
    const run = claims.run(createIntent('key-1'), () => {
      isDown = true;
      return succeed();
    });
    await daemons.clock.advanceTo(3_000);
    assert.deepEqual(await run, CLAIM_RESPONSE);
    isDown = false;
    const drained = claims.drain();
    await daemons.clock.advanceTo(5_000);
    await drained;
    const retry = daemons
      .addDaemon('daemon-2')
      .run(createIntent('key-1'), rejectDispatch);
    await daemons.clock.advanceTo(6_000);
    assert.deepEqual(await retry, CLAIM_RESPONSE);
  });

  it('writes directly if the owner is paused or unavailable', async () => {
    const live = [FIRST, SECOND];
    const owner = ownerOfShard(0, live);
    const self = owner === FIRST ? SECOND : FIRST;
    for (const ownerFault of [Fault.Silent, Fault.Down]) {
      const daemons = new ClaimFixture();
      daemons.addForwardingDaemon(owner ?? '', live, () => ownerFault);
      const run = daemons
        .addForwardingDaemon(self, live)
        .run(createIntent('key-1'), succeed);
      await daemons.clock.advanceTo(5_000);
      assert.deepEqual(await run, CLAIM_RESPONSE);
    }
  });

  it('runs a key once if two daemons both consider themselves the owner', async () => {
    const daemons = new ClaimFixture();
    const first = daemons.addForwardingDaemon(FIRST, [FIRST]);
    const second = daemons.addForwardingDaemon(SECOND, [SECOND]);
    let count = 0;
    const dispatch = () => {
      count += 1;
      return succeed();
    };
    const responses = Promise.all([
      first.run(createIntent('key-1'), dispatch),
      second.run(createIntent('key-1'), dispatch),
      first.run(createIntent('key-2'), succeed),
      second.run(createIntent('key-3'), succeed),
    ]);
    await daemons.clock.advanceTo(5_000);
    assert.equal((await responses).length, 4);
    assert.equal(count, 1);
  });
});
