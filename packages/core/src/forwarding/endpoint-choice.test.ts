import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { noopLog, noopMetrics, SeededRandom } from '../ports/index.js';
import { AttemptHistory } from './attempt-history.js';
import { AttemptEndKind } from './attempt-outcome.js';
import { EndpointChoice } from './endpoint-choice.js';
import { UNLIMITED } from './endpoint-limiter.js';
import { EndpointPool } from './endpoint-pool.js';
import { SAMPLE_HOST, sampleEndpoint } from './fakes/index.js';
import type { VersionConstraint } from './forwarder.js';
import { ANY_VERSION } from './forwarder.js';
import { LeavingEndpoints } from './leaving-endpoints.js';
import { UNGUARDED } from './overload-guard.js';
import { PausedEndpoints } from './paused-endpoints.js';
import type { RelayedPart } from './request-relay.js';
import { NO_RELAY } from './request-relay.js';

/** Returns the choice of a request among two endpoints of different versions. */
function createChoice(
  rule: () => VersionConstraint,
  attempts: AttemptHistory,
  relayed?: RelayedPart,
): EndpointChoice {
  const context = { nowMs: () => 0, log: noopLog, metrics: noopMetrics };
  const pool = new EndpointPool(new SeededRandom(1), {
    dataCentre: 'north-1',
    prefillTokensPerMs: 90,
    timeMs: () => 0,
    engineMemoryTokens: () => undefined,
    limiter: UNLIMITED,
    paused: new PausedEndpoints(context),
    leaving: new LeavingEndpoints(context),
    overloadGuard: UNGUARDED,
  });
  pool.apply({
    revision: 1,
    endpoints: [
      sampleEndpoint('e1', { version: 'v2' }),
      sampleEndpoint('e2', { version: 'v1' }),
    ],
  });
  return new EndpointChoice({
    attempts,
    group: 'ledger',
    homes: undefined,
    dataCentres: { findBarrier: () => undefined },
    request: {
      requestId: 'r1',
      method: 'GET',
      target: '/drafts/a',
      headers: [],
      body: undefined,
      receivedAtMs: 0,
      metadata: {
        requestId: 'r1',
        host: SAMPLE_HOST,
        apiKey: undefined,
        callerTimeoutMs: undefined,
        usage: undefined,
        promptParts: [],
        lastEventId: undefined,
      },
    },
    isRepeatable: true,
    requestRelay: NO_RELAY,
    relayed,
    pool,
    versions: {
      choose: () => rule(),
      chooseForRetry: () => rule(),
      observe: () => ({
        recordEvents: () => undefined,
        end: () => undefined,
      }),
    },
  });
}

describe('the choice of endpoints of a request', () => {
  it('lets no attempt name a source for the prompt after one that did has failed or is silent', () => {
    const promptSource = { endpoint: sampleEndpoint('e2'), tokens: 13_300 };
    const mayTransfer = (end?: AttemptEndKind, hasSource = true) => {
      const attempts = new AttemptHistory();
      attempts.begin('e1', hasSource ? { promptSource } : {});
      if (end !== undefined) attempts.recordEnd(end);
      attempts.begin('e2');
      attempts.recordEnd(AttemptEndKind.NotRun);
      return !attempts.hasFailedWithSource();
    };
    assert.equal(mayTransfer(AttemptEndKind.Failed), false);
    assert.equal(mayTransfer(AttemptEndKind.Silent), false);
    assert.equal(mayTransfer(undefined), false);
    assert.equal(mayTransfer(AttemptEndKind.NotRun), true);
    assert.equal(mayTransfer(AttemptEndKind.Failed, false), true);
  });

  it('does not return to an endpoint whose version was rolled back meanwhile', () => {
    let rule: VersionConstraint = { only: 'v2' };
    const attempts = new AttemptHistory();
    const choice = createChoice(() => rule, attempts);
    assert.equal(choice.reserve(0)?.endpoint.id, 'e1');
    attempts.begin('e1');
    attempts.recordEnd(AttemptEndKind.Silent);
    assert.equal(choice.reserveReplacement(0)?.endpoint.id, 'e2');
    attempts.begin('e2');
    attempts.recordEnd(AttemptEndKind.NotRun);
    rule = { not: 'v2' };
    assert.equal(choice.reserveLeft(0), undefined);
    rule = ANY_VERSION;
    assert.equal(choice.reserveLeft(0)?.endpoint.id, 'e1');
  });

  it('does not return to an endpoint for a peer, which decides on further attempts', () => {
    const relayed = { excludedIds: [], onDispatch: () => undefined };
    for (const part of [undefined, relayed]) {
      const attempts = new AttemptHistory();
      const choice = createChoice(() => ANY_VERSION, attempts, part);
      attempts.begin('e1');
      attempts.recordEnd(AttemptEndKind.Failed, true);
      assert.equal(choice.hasLeft(0), part === undefined);
    }
  });
});
