import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Fault, FaultyKeyValue, MemoryKeyValue } from '../fakes/index.js';
import type { KeyValueStore, ServiceResponse } from '../ports/index.js';
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

function isErrorOfKind(kind: ClaimErrorKind) {
  return (error: unknown) => error instanceof ClaimError && error.kind === kind;
}

function createClaims(
  wrap: (store: KeyValueStore, clock: ManualClock) => KeyValueStore,
) {
  const clock = new ManualClock();
  const store = wrap(new MemoryKeyValue(clock), clock);
  return new SingleKeyClaims(store, clock, RETENTION_MS);
}

describe('SingleKeyClaims', () => {
  it('runs a key once and returns the first response to a repeated call', async () => {
    const claims = createClaims(store => store);
    let runs = 0;
    const dispatch = () => {
      runs += 1;
      return Promise.resolve(RESPONSE);
    };
    await claims.run(INTENT, dispatch);
    assert.deepEqual(await claims.run(INTENT, dispatch), RESPONSE);
    assert.equal(runs, 1);
  });

  it('rejects a key that was used with another body', async () => {
    const claims = createClaims(store => store);
    await claims.run(INTENT, () => Promise.resolve(RESPONSE));
    await assert.rejects(
      claims.run({ ...INTENT, bodyHash: 'hash-2' }, () =>
        Promise.resolve(RESPONSE),
      ),
      isErrorOfKind(ClaimErrorKind.KeyReused),
    );
  });

  it('reads a claim back after the response of its write was lost', async () => {
    let puts = 0;
    const claims = createClaims(
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

  it('dispatches nothing while the key-value service is unavailable', async () => {
    const claims = createClaims(
      (store, clock) => new FaultyKeyValue(store, clock, () => Fault.Down),
    );
    await assert.rejects(
      claims.run(INTENT, () => {
        throw new Error('dispatched');
      }),
      isErrorOfKind(ClaimErrorKind.StoreUnavailable),
    );
  });

  it('reports a call as not run only if nothing was sent', async () => {
    const claims = createClaims(store => store);
    await assert.rejects(
      claims.run(INTENT, () => Promise.reject(new NotSentError('refused'))),
      isErrorOfKind(ClaimErrorKind.NotRun),
    );
    const lost = { ...INTENT, idempotencyKey: 'key-2' };
    await assert.rejects(
      claims.run(lost, () => Promise.reject(new AnswerLostError('lost'))),
      isErrorOfKind(ClaimErrorKind.OutcomeUnknown),
    );
    const record = await claims.find('northside', 'key-2', 10_000);
    assert.equal(record?.state, ClaimState.Unknown);
  });
});
