import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Endpoint, LoadReport } from '../ports/index.js';
import {
  EndpointKind,
  EndpointStage,
  estimateTokens,
  Priority,
  SeededRandom,
} from '../ports/index.js';
import { ExpectedFinishRouter } from './expected-finish-router.js';
import type { RouteRequest } from './router.js';
import { AttemptEnd, LeavingSource } from './router.js';

const PROMPT = 'ledger line '.repeat(1_000);

function endpoint(index: number): Endpoint {
  return {
    address: `10.0.0.${index}:8000`,
    kind: EndpointKind.Model,
    group: 'model',
    version: 'v1',
    dataCentre: `zone-${index % 4}`,
    instanceId: `instance-${index}`,
    stage: EndpointStage.Ready,
  };
}

function request(changes: Partial<RouteRequest> = {}): RouteRequest {
  const promptText = changes.promptText ?? PROMPT;
  return {
    requestId: 'request-1',
    workspace: 'northside',
    kind: 'review',
    group: 'model',
    promptText,
    promptTokens: estimateTokens(promptText),
    maxTokens: 10,
    priority: Priority.Standard,
    deadlineAtMs: 60_000,
    excluded: new Set(),
    avoidedDataCentres: new Set(),
    ...changes,
  };
}

function report(changes: Partial<LoadReport> = {}): LoadReport {
  return {
    reportedAtMs: 0,
    runningRequests: 0,
    queuedRequests: 0,
    queuedPrefillTokens: 0,
    decodingTokensLeft: 0,
    cacheUsedTokens: 0,
    cacheLimitTokens: 100_000,
    prefillTokensPerSecond: 10_000,
    decodeTokensPerSecond: 50,
    leaving: false,
    ...changes,
  };
}

function createRouter(count: number, seed = 1): ExpectedFinishRouter {
  const router = new ExpectedFinishRouter(new SeededRandom(seed));
  const endpoints = Array.from({ length: count }, (_, index) =>
    endpoint(index + 1),
  );
  router.applyListing(endpoints, 0);
  for (const { address } of endpoints) router.applyLoad(address, report());
  return router;
}

function dispatch(router: ExpectedFinishRouter, sent: RouteRequest, atMs = 0) {
  const chosen = router.choose(sent, atMs);
  assert.ok(chosen !== undefined);
  const attempt = {
    attemptId: sent.requestId,
    address: chosen.address,
    request: sent,
  };
  router.recordDispatch(attempt, atMs);
  return attempt;
}

describe('ExpectedFinishRouter', () => {
  it('sends the same prefix to the same endpoint from daemons that do not communicate', () => {
    const chosen = [1, 2, 3, 4, 5, 6, 7, 8].map(
      seed => createRouter(20, seed).choose(request(), 0)?.address,
    );
    assert.equal(new Set(chosen).size, 1);
  });

  it('spreads prompts without an affinity key over equal endpoints', () => {
    const sent = request({ promptText: 'short' });
    const routers = [1, 2, 3, 4, 5, 6, 7, 8].map(seed =>
      createRouter(16, seed),
    );
    const chosen = Array.from(
      { length: 64 },
      (_, index) => routers[index % 8]?.choose(sent, 0)?.address,
    );
    assert.ok(new Set(chosen).size >= 12);
  });

  it('leaves the endpoint that caches the prefix when its queue costs more than the prefill', () => {
    const router = createRouter(6);
    const { address } = dispatch(router, request());
    assert.equal(router.choose(request(), 1_000)?.address, address);
    const queuedPrefillTokens = 100_000;
    router.applyLoad(
      address,
      report({ reportedAtMs: 1_000, queuedPrefillTokens }),
    );
    assert.notEqual(router.choose(request(), 1_000)?.address, address);
  });

  it('counts its own dispatches that no report includes yet', () => {
    const router = createRouter(2);
    const prompts = ['a', 'b', 'c', 'd'].map(letter => letter.repeat(900));
    const chosen = prompts.map(
      promptText => dispatch(router, request({ promptText })).address,
    );
    const sameAsFirst = chosen.filter(address => address === chosen[0]);
    assert.equal(sameAsFirst.length, 2);
  });

  it('sends no new request to a leaving endpoint, whatever the listing says', () => {
    const router = createRouter(2);
    for (const source of Object.values(LeavingSource)) {
      router.markLeaving('10.0.0.1:8000', source, 10);
      router.applyListing([endpoint(1), endpoint(2)], 5);
      router.applyListing([endpoint(1), endpoint(2)], 20);
      assert.equal(router.choose(request(), 30)?.address, '10.0.0.2:8000');
    }
  });

  it('avoids data centres while an endpoint elsewhere is available', () => {
    const router = createRouter(8);
    const avoided = new Set(['zone-0', 'zone-1', 'zone-2']);
    const sent = request({ avoidedDataCentres: avoided });
    assert.equal(router.choose(sent, 0)?.dataCentre, 'zone-3');
    const allDataCentres = new Set([...avoided, 'zone-3']);
    const unavoidable = request({ avoidedDataCentres: allDataCentres });
    assert.ok(router.choose(unavoidable, 0) !== undefined);
  });

  it('excludes endpoints already tried until none is left', () => {
    const router = createRouter(40);
    const excluded = new Set<string>();
    for (let count = 0; count < 40; count += 1) {
      const chosen = router.choose(request({ excluded }), 0);
      assert.ok(chosen !== undefined && !excluded.has(chosen.address));
      excluded.add(chosen.address);
    }
    assert.equal(router.choose(request({ excluded }), 0), undefined);
  });

  it('stops choosing an endpoint that fails every attempt', () => {
    const router = createRouter(4);
    const { address } = dispatch(router, request());
    for (let count = 0; count < 4; count += 1) {
      const attempt = { attemptId: `${count}`, address, request: request() };
      const result = { end: AttemptEnd.Failed, generatedTokens: 0 };
      router.recordDispatch(attempt, 0);
      router.recordEnd(attempt, result, 0);
    }
    assert.notEqual(router.choose(request(), 1)?.address, address);
  });

  it('prefers the cheaper of endpoints with the same expected finish', () => {
    const router = createRouter(2);
    const prices = new Map([
      ['10.0.0.1:8000', 2],
      ['10.0.0.2:8000', 1],
    ]);
    router.applyPrices(prices);
    const sent = request({ promptText: 'short' });
    const chosen = Array.from(
      { length: 100 },
      () => router.choose(sent, 0)?.address,
    );
    const cheaper = chosen.filter(address => address === '10.0.0.2:8000');
    assert.ok(cheaper.length > 60);
  });
});
