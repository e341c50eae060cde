import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type {
  CloudClient,
  Endpoint,
  EngineClient,
} from '@skylarkreach/core/ports';
import {
  EndpointKind,
  EndpointStage,
  ManualClock,
  noopLog,
  SeededRandom,
} from '@skylarkreach/core/ports';
import { LeastInFlightRouter } from '@skylarkreach/core/routing';

import { EndpointPoller } from './endpoint-poller.js';

const ENDPOINTS = 10_000;
const LISTED = 100;

function listing(from: number): readonly Endpoint[] {
  return Array.from({ length: LISTED }, (_, index) => ({
    address: `10.0.0.1:${from + index}`,
    kind: EndpointKind.Model,
    group: 'engines',
    version: 'v1',
    dataCentre: 'north-1',
    instanceId: `instance-${from + index}`,
    stage: EndpointStage.Ready,
  }));
}

describe('EndpointPoller', () => {
  it('keeps nothing of endpoints that have come and gone', async () => {
    const router = new LeastInFlightRouter(new SeededRandom(1));
    const engine = {
      load: () => Promise.resolve({ leaving: false }),
      cacheEvents: () => Promise.resolve([]),
    };
    const poller = new EndpointPoller(
      {} as CloudClient,
      engine as unknown as EngineClient,
      router,
      new ManualClock(0),
      noopLog,
    );
    for (let from = 0; from < ENDPOINTS; from += LISTED) {
      router.applyListing(listing(from), from);
      await poller.readLoads();
    }
    assert.equal(poller.followedCount, LISTED);
  });
});
