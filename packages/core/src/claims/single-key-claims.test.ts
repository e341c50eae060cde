import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Fault, FaultyKeyValue, MemoryKeyValue } from '../fakes/index.js';
import type { KeyValue, ServiceResponse } from '../ports/index.js';
import { AnswerLostError, ManualClock, NotSentError } from '../ports/index.js';
import type { ClaimIntent } from './claims.js';
import { ClaimError, ClaimErrorKind, ClaimState } from './claims.js';
import { SingleKeyClaims } from './single-key-claims.js';

const RETENTION_MS = 60_000;
const RESPONSE: ServiceResponse = {
  status: 200,
  contentType: 'application/json',
  body: '{"receipt":1}',
};
const INTENT: ClaimIntent = {
  workspace: 'northside',
  idempotencyKey: 'key-1',
  bodyHash: 'hash-1',
  requestId: 'request-1',
  deadlineAtMs: 10_000,
};

function hasKind(kind: ClaimErrorKind) {
  return (error: unknown) => error instanceof ClaimError && error.kind === kind;
}

function setUp(wrap: (store: KeyValue, clock: ManualClock) => KeyValue) {
  const clock = new ManualClock();
  const store = wrap(new MemoryKeyValue(clock), clock);
  return new SingleKeyClaims(store, clock, RETENTION_MS);
}

describe('SingleKeyClaims', () => {
  it('runs a key once and answers a repeat with the first response', async () => {
    const claims = setUp(store => store);
    let runs = 0;
    const dispatch = () => {
      runs += 1;
      return Promise.resolve(RESPONSE);
    };
    await claims.run(INTENT, dispatch);
    assert.deepEqual(await claims.run(INTENT, dispatch), RESPONSE);
    assert.equal(runs, 1);
  });

  it('refuses a key with another body', async () => {
    const claims = setUp(store => store);
    await claims.run(INTENT, () => Promise.resolve(RESPONSE));
    await assert.rejects(
      claims.run({ ...INTENT, bodyHash: 'hash-2' }, () =>
        Promise.resolve(RESPONSE),
      ),
      hasKind(ClaimErrorKind.KeyReused),
    );
  });

  it('reads back a claim whose write lost its answer', async () => {
    let puts = 0;
    const claims = setUp(
      (store, clock) =>
        new FaultyKeyValue(store, clock, operation => {
          if (operation !== 'put') return Fault.None;
          puts += 1;
          return puts === 1 ? Fault.AnswerLost : Fault.None;
        }),
    );
    const response = await claims.run(INTENT, () => Promise.resolve(RESPONSE));
    assert.deepEqual(response, RESPONSE);
  });

  it('dispatches nothing while the key-value service is down', async () => {
    const claims = setUp(
      (store, clock) => new FaultyKeyValue(store, clock, () => Fault.Down),
    );
    await assert.rejects(
      claims.run(INTENT, () => {
        throw new Error('dispatched');
      }),
      hasKind(ClaimErrorKind.StoreUnavailable),
    );
  });

  it('tells not run only where nothing was sent', async () => {
    const claims = setUp(store => store);
    await assert.rejects(
      claims.run(INTENT, () => Promise.reject(new NotSentError('refused'))),
      hasKind(ClaimErrorKind.NotRun),
    );
    const lost = { ...INTENT, idempotencyKey: 'key-2' };
    await assert.rejects(
      claims.run(lost, () => Promise.reject(new AnswerLostError('lost'))),
      hasKind(ClaimErrorKind.OutcomeUnknown),
    );
    const record = await claims.find('northside', 'key-2', 10_000);
    assert.equal(record?.state, ClaimState.Unknown);
  });
});
