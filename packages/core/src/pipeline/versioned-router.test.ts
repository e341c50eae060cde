import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { VersionedResult } from '../moves/index.js';
import { createMoveRecord, moveKey, MoveRegistry } from '../moves/index.js';
import type { Endpoint } from '../ports/index.js';
import {
  EndpointKind,
  EndpointStage,
  Priority,
  SeededRandom,
} from '../ports/index.js';
import type { Attempt, RouteRequest } from '../routing/index.js';
import { AttemptEnd, LeastInFlightRouter } from '../routing/index.js';
import { VersionedRouter } from './versioned-router.js';

const KINDS = ['lookup'];

function createEndpoint(address: string, version: string): Endpoint {
  return {
    address,
    version,
    kind: EndpointKind.Model,
    group: 'model',
    dataCentre: 'north-1',
    instanceId: address,
    stage: EndpointStage.Ready,
  };
}

function createRouteRequest(requestId: string, version?: string): RouteRequest {
  return {
    requestId,
    version,
    workspace: 'northside',
    kind: 'lookup',
    group: 'model',
    promptText: '',
    promptTokens: 1,
    maxTokens: 10,
    priority: Priority.Lookup,
    deadlineAtMs: 60_000,
    excluded: new Set(),
    avoidedDataCentres: new Set(),
  };
}

function createFixture(share: number) {
  const board = new MoveRegistry('daemon-1');
  const record = createMoveRecord({
    moveId: 'move-1',
    group: 'model',
    fromVersion: 'v1',
    toVersion: 'v2',
    kinds: KINDS,
    cautiousKinds: [],
    startedAtMs: 0,
    deadlineAtMs: 60_000,
    reason: 'operations, newer weights',
  });
  const progress = [{ kind: 'lookup', share, newCount: 0 }];
  const value = JSON.stringify({ ...record, progress });
  board.applyEntry({ key: moveKey('model'), value, version: 1 }, 0);
  const results: VersionedResult[] = [];
  const router = new VersionedRouter(
    new LeastInFlightRouter(new SeededRandom(3)),
    board,
    {
      onDispatch: () => undefined,
      onResult: result => {
        results.push(result);
      },
    },
  );
  router.applyListing(
    [
      createEndpoint('old-1', 'v1'),
      createEndpoint('old-2', 'v1'),
      createEndpoint('new-1', 'v2'),
      createEndpoint('new-2', 'v2'),
    ],
    0,
  );
  return { board, results, router };
}

describe('VersionedRouter', () => {
  it('routes the configured share to the new version and keeps each request on one version', () => {
    const { router } = createFixture(0.3);
    const newVersionAddresses = new Set<string>();
    let newVersionCount = 0;
    for (let index = 0; index < 1_000; index += 1) {
      const first = router.choose(createRouteRequest(`request-${index}`), 0);
      const again = router.choose(createRouteRequest(`request-${index}`), 1);
      assert.equal(first?.version, again?.version);
      if (first?.version === 'v2') newVersionCount += 1;
      if (first?.version === 'v2') newVersionAddresses.add(first.address);
    }
    assert.ok(
      newVersionCount > 240 && newVersionCount < 360,
      `${newVersionCount} of 1000`,
    );
    assert.equal(newVersionAddresses.size, 1);
  });

  it('falls back to the old version after a failed attempt on the new one', () => {
    const { router } = createFixture(0.3);
    for (let index = 0; index < 100; index += 1) {
      const first = router.choose(createRouteRequest(`request-${index}`), 0);
      if (first?.version !== 'v2') continue;
      const excluded = new Set([first.address]);
      const next = {
        ...createRouteRequest(`request-${index}`),
        excluded,
      };
      assert.equal(router.choose(next, 1)?.version, 'v1');
    }
  });

  it('uses the version that a request names, and only the old one once the rollout is stopped', () => {
    const { board, router } = createFixture(0.3);
    assert.equal(
      router.choose(createRouteRequest('request-1', 'v2'), 0)?.version,
      'v2',
    );
    board.find('model')?.stop(0);
    for (let index = 0; index < 100; index += 1) {
      const chosen = router.choose(createRouteRequest(`request-${index}`), 1);
      assert.equal(chosen?.version, 'v1');
    }
    assert.equal(board.isTakenBack('model', 'v2'), true);
  });

  it('reports the results that are evidence about the version, with their latencies', () => {
    const { results, router } = createFixture(0.3);
    const route = createRouteRequest('request-1', 'v2');
    const chosen = router.choose(route, 0);
    const createAttempt = (attemptId: string): Attempt => ({
      attemptId,
      address: chosen?.address ?? '',
      request: route,
    });
    const [first, second] = [createAttempt('a'), createAttempt('b')];
    router.recordDispatch(first, 1_000);
    router.recordDispatch(second, 1_000);
    const cancelled = { end: AttemptEnd.Cancelled, generatedTokens: 0 };
    router.recordEnd(second, cancelled, 1_100);
    const succeeded = {
      end: AttemptEnd.Succeeded,
      firstByteAtMs: 1_200,
      generatedTokens: 11,
    };
    router.recordEnd(first, succeeded, 1_700);
    assert.deepEqual(results, [
      {
        group: 'model',
        kind: 'lookup',
        version: 'v2',
        failed: false,
        firstTokenMs: 200,
        tokenGapMs: 50,
      },
    ]);
  });
});
