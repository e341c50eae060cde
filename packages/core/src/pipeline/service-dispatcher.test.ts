import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Endpoint } from '../ports/index.js';
import {
  EndpointKind,
  EndpointStage,
  ManualClock,
  NotSentError,
  SeededRandom,
} from '../ports/index.js';
import type { Attempt } from '../routing/index.js';
import { LeastInFlightRouter } from '../routing/index.js';
import { parseRules } from '../rules/index.js';
import type { PipelineDependencies } from './pipeline-dependencies.js';
import { ServiceDispatcher } from './service-dispatcher.js';

const ENDPOINT: Endpoint = {
  address: '10.0.0.1:80',
  kind: EndpointKind.Service,
  group: 'ledger',
  version: 'v1',
  dataCentre: 'north-1',
  instanceId: 'instance-1',
  stage: EndpointStage.Ready,
};
const CALL = {
  requestId: 'request-1',
  bearerToken: undefined,
  kind: 'lookup',
  deadlineAtMs: 60_000,
  idempotencyKey: undefined,
  service: 'ledger',
  method: 'GET',
  path: '/a',
  contentType: 'text/plain',
  body: '',
};

/** Router that records the ids of the attempts dispatched. */
class RecordingRouter extends LeastInFlightRouter {
  readonly attemptIds: string[] = [];

  override recordDispatch(attempt: Attempt): void {
    this.attemptIds.push(attempt.attemptId);
    super.recordDispatch(attempt);
  }
}

describe('ServiceDispatcher', () => {
  it('gives each attempt an id of its own, also at an endpoint that is used again', async () => {
    const router = new RecordingRouter(new SeededRandom(1));
    router.applyListing([ENDPOINT], 0);
    const failing = () => Promise.reject(new NotSentError('refused'));
    const dispatcher = new ServiceDispatcher({
      clock: new ManualClock(0),
      random: new SeededRandom(2),
      router,
      service: { call: failing, outcome: failing },
    } as unknown as PipelineDependencies);
    const [rule] = parseRules(
      'kind=* target=ledger deadline=2m # operations, all look-ups\n',
    ).rules;
    assert.ok(rule);
    const { signal } = new AbortController();
    const request = { ...CALL, workspace: 'northside', rule };
    for (let count = 0; count < 3; count += 1) {
      const dispatched = dispatcher.dispatch(CALL, request, new Set(), signal);
      await assert.rejects(dispatched, NotSentError);
    }
    assert.equal(new Set(router.attemptIds).size, 3);
  });
});
