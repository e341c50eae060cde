import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Endpoint } from '../ports/index.js';
import { EndpointKind, EndpointStage, SeededRandom } from '../ports/index.js';
import { LeastInFlightRouter } from './least-in-flight-router.js';
import type { Attempt } from './router.js';

const ENDPOINTS = 10_000;

function endpointAt(address: string): Endpoint {
  return {
    address,
    kind: EndpointKind.Model,
    group: 'engines',
    version: 'v1',
    dataCentre: 'north-1',
    instanceId: address,
    stage: EndpointStage.Ready,
  };
}

describe('LeastInFlightRouter', () => {
  it('keeps nothing of endpoints that have come and gone', () => {
    const router = new LeastInFlightRouter(new SeededRandom(1));
    for (let index = 0; index < ENDPOINTS; index += 1) {
      const address = `10.0.0.1:${index}`;
      router.applyListing([endpointAt(address)], index);
      const attempt = { attemptId: address, address } as Attempt;
      router.recordDispatch(attempt);
      router.recordEnd(attempt);
    }
    assert.equal(router.busyEndpointCount, 0);
    assert.equal(router.endpoints().length, 1);
  });
});
