import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { FaultPlan } from '../fakes/index.js';
import {
  CLAIM_DEADLINE_MS,
  CLAIM_RESPONSE,
  ClaimDaemons,
  Fault,
  intentOf,
} from '../fakes/index.js';
import type { ServiceOutcome, ServiceResponse } from '../ports/index.js';
import { AnswerLostError, ServiceOutcomeKind } from '../ports/index.js';
import { ownerOf } from './claim-owners.js';
import { ClaimError, ClaimErrorKind, ClaimState } from './claims.js';

const NEVER = new Promise<never>(() => undefined);
const FIRST = '10.0.0.1:80';
const SECOND = '10.0.0.2:80';

function hasKind(kind: ClaimErrorKind) {
  return (error: unknown) => error instanceof ClaimError && error.kind === kind;
}

function runs(): Promise<ServiceResponse> {
  return Promise.resolve(CLAIM_RESPONSE);
}

function mustNotRun(): Promise<ServiceResponse> {
  return Promise.reject(new Error('dispatched'));
}

function losesAnswer(): Promise<ServiceResponse> {
  return Promise.reject(new AnswerLostError('lost'));
}

function tells(kind: ServiceOutcomeKind): () => Promise<ServiceOutcome> {
  return () => Promise.resolve({ kind, response: CLAIM_RESPONSE });
}

/** A plan that injects one fault at the numbered call of the operation. */
function once(operation: string, number: number, fault: Fault): FaultPlan {
  let calls = 0;
  return name => {
    if (name === operation) calls += 1;
    return name === operation && calls === number ? fault : Fault.None;
  };
}

describe('JournalClaims under faults', () => {
  it('reads a claim back whose write lost its answer, and dispatches once', async () => {
    for (const fault of [Fault.AnswerLost, Fault.CallLost]) {
      const daemons = new ClaimDaemons();
      let count = 0;
      const run = daemons
        .add('daemon-1', once('put', 1, fault))
        .run(intentOf('key-1'), () => {
          count += 1;
          return runs();
        });
      await daemons.clock.advanceTo(2_000);
      assert.deepEqual(await run, CLAIM_RESPONSE);
      assert.equal(count, 1);
    }
  });

  it('tells a retry before its deadline what the service says of a run whose daemon is gone', async () => {
    const daemons = new ClaimDaemons();
    void daemons.add('daemon-1').run(intentOf('key-1'), () => NEVER);
    await daemons.clock.advanceTo(2_000);
    const retry = daemons
      .add('daemon-2')
      .run(intentOf('key-1'), mustNotRun, tells(ServiceOutcomeKind.Ran));
    await daemons.clock.advanceTo(CLAIM_DEADLINE_MS / 2);
    const inTime = Promise.race([retry, Promise.resolve('waiting')]);
    assert.deepEqual(await inTime, CLAIM_RESPONSE);
  });

  it('refuses at once while the key-value service is down, and sends nothing', async () => {
    const daemons = new ClaimDaemons();
    await assert.rejects(
      daemons
        .add('daemon-1', () => Fault.Down)
        .run(intentOf('key-1'), mustNotRun),
      hasKind(ClaimErrorKind.StoreUnavailable),
    );
  });

  it('sends through an outage where the service removes duplicates by key', async () => {
    const daemons = new ClaimDaemons();
    const intent = intentOf('key-1', { deduplicatedByService: true });
    const claims = daemons.add('daemon-1', () => Fault.Down);
    const run = claims.run(intent, runs);
    await daemons.clock.advanceTo(2_000);
    assert.deepEqual(await run, CLAIM_RESPONSE);
  });

  it('does not dispatch after a pause past the stored time, and frees the key', async () => {
    const daemons = new ClaimDaemons();
    const { clock, store } = daemons;
    const paused = daemons.build('daemon-1', {
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
    const refused = assert.rejects(
      paused.run(intentOf('key-1'), mustNotRun),
      hasKind(ClaimErrorKind.NotRun),
    );
    await clock.advanceTo(3_500);
    const other = daemons.add('daemon-2');
    const found = await other.find('northside', 'key-1');
    assert.equal(found?.state, ClaimState.Dispatched);
    const retry = other.run(intentOf('key-1'), runs);
    await clock.advanceTo(12_000);
    await refused;
    assert.deepEqual(await retry, CLAIM_RESPONSE);
  });

  it('never runs the claim of a killed daemon again, and tells unknown', async () => {
    const daemons = new ClaimDaemons();
    void daemons.add('daemon-1').run(intentOf('key-1'), () => NEVER);
    await daemons.clock.advanceTo(2_000);
    const other = daemons.add('daemon-2');
    const intent = intentOf('key-1', { deadlineAtMs: CLAIM_DEADLINE_MS * 2 });
    const retry = assert.rejects(
      other.run(intent, mustNotRun),
      hasKind(ClaimErrorKind.OutcomeUnknown),
    );
    await daemons.clock.advanceTo(CLAIM_DEADLINE_MS + 1_000);
    await retry;
    const found = await other.find('northside', 'key-1');
    assert.equal(found?.state, ClaimState.Unknown);
  });

  it('asks the service for the outcome of a killed daemon, and records it', async () => {
    const daemons = new ClaimDaemons();
    void daemons.add('daemon-1').run(intentOf('key-1'), () => NEVER);
    await daemons.clock.advanceTo(2_000);
    const other = daemons.add('daemon-2');
    const intent = intentOf('key-1', { deadlineAtMs: CLAIM_DEADLINE_MS * 2 });
    const retry = other.run(intent, mustNotRun, tells(ServiceOutcomeKind.Ran));
    await daemons.clock.advanceTo(CLAIM_DEADLINE_MS + 1_000);
    assert.deepEqual(await retry, CLAIM_RESPONSE);
    const found = await other.find('northside', 'key-1');
    assert.equal(found?.state, ClaimState.Ran);
  });

  it('believes a service that a lost call ran, and not that it did not', async () => {
    const daemons = new ClaimDaemons();
    const claims = daemons.add('daemon-1');
    const isUnknown = hasKind(ClaimErrorKind.OutcomeUnknown);
    const { NotRun, Ran } = ServiceOutcomeKind;
    const ran = claims.run(intentOf('key-1'), losesAnswer, tells(Ran));
    const lost = claims.run(intentOf('key-2'), losesAnswer, tells(NotRun));
    const refused = assert.rejects(lost, isUnknown);
    await daemons.clock.advanceTo(2_000);
    assert.deepEqual(await ran, CLAIM_RESPONSE);
    await refused;
    const retry = claims.run(intentOf('key-2'), mustNotRun);
    const refusedAgain = assert.rejects(retry, isUnknown);
    await daemons.clock.advanceTo(4_000);
    await refusedAgain;
  });

  it('records an end that an outage held up, so that a retry gets the answer', async () => {
    const daemons = new ClaimDaemons();
    let isDown = false;
    const claims = daemons.add('daemon-1', () =>
      isDown ? Fault.Down : Fault.None,
    );
    const run = claims.run(intentOf('key-1'), () => {
      isDown = true;
      return runs();
    });
    await daemons.clock.advanceTo(3_000);
    assert.deepEqual(await run, CLAIM_RESPONSE);
    isDown = false;
    const drained = claims.drain();
    await daemons.clock.advanceTo(5_000);
    await drained;
    const retry = daemons.add('daemon-2').run(intentOf('key-1'), mustNotRun);
    await daemons.clock.advanceTo(6_000);
    assert.deepEqual(await retry, CLAIM_RESPONSE);
  });

  it('writes by itself where the owner is paused or gone', async () => {
    const live = [FIRST, SECOND];
    const owner = ownerOf(0, live);
    const self = owner === FIRST ? SECOND : FIRST;
    for (const ownerFault of [Fault.Silent, Fault.Down]) {
      const daemons = new ClaimDaemons();
      daemons.addPeer(owner ?? '', live, () => ownerFault);
      const run = daemons.addPeer(self, live).run(intentOf('key-1'), runs);
      await daemons.clock.advanceTo(5_000);
      assert.deepEqual(await run, CLAIM_RESPONSE);
    }
  });

  it('runs a key once where two daemons both hold themselves for the owner', async () => {
    const daemons = new ClaimDaemons();
    const first = daemons.addPeer(FIRST, [FIRST]);
    const second = daemons.addPeer(SECOND, [SECOND]);
    let count = 0;
    const dispatch = () => {
      count += 1;
      return runs();
    };
    const answers = Promise.all([
      first.run(intentOf('key-1'), dispatch),
      second.run(intentOf('key-1'), dispatch),
      first.run(intentOf('key-2'), runs),
      second.run(intentOf('key-3'), runs),
    ]);
    await daemons.clock.advanceTo(5_000);
    assert.equal((await answers).length, 4);
    assert.equal(count, 1);
  });
});
