import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type {
  EndpointRecord,
  PoolQuery,
  ReportedLoad,
} from '../forwarding/index.js';
import {
  AttemptVerdict,
  createPoolMember,
  EndpointPool,
  EndpointState,
  LeavingEndpoints,
  PausedEndpoints,
  PreferredMembers,
  UNGUARDED,
  UNLIMITED,
} from '../forwarding/index.js';
import type { Metrics } from '../ports/index.js';
import { noopLog, noopMetrics, SeededRandom } from '../ports/index.js';
import { LeastWorkPlacement } from './least-work-placement.js';
import { LoadReports } from './load-reports.js';

const QUERY: PoolQuery = {
  group: 'ledger',
  excluded: new Set(),
  promptParts: [],
  promptTokens: 1_500,
};

const SHARED_QUERY: PoolQuery = {
  ...QUERY,
  promptParts: [
    { id: 'shared', tokens: 13_300 },
    { id: 'own', tokens: 3_720 },
  ],
  promptTokens: 17_020,
};

const IDLE: ReportedLoad = { running: 0, waiting: 0, slots: 16, slowdown: 1 };

function recordOf(id: string): EndpointRecord {
  return {
    id,
    address: `${id}:80`,
    group: QUERY.group,
    dataCentre: 'north-1',
    version: 'v1',
    slots: 16,
    state: EndpointState.Ready,
    coldRemainingMs: 0,
    isReclaimable: false,
    leavesInMs: undefined,
    bornAtMs: 1,
  };
}

class TestDaemon {
  nowMs = 10_000;
  readonly reports = new LoadReports({
    nowMs: () => this.nowMs,
    clusterMs: () => this.nowMs,
  });
  readonly placement: LeastWorkPlacement;
  readonly pool: EndpointPool;
  private revision = 0;

  constructor(
    ids: readonly string[],
    seed = 1,
    metrics: Metrics = noopMetrics,
  ) {
    const random = new SeededRandom(seed);
    const sharing = { nowMs: () => 0, log: noopLog, metrics: noopMetrics };
    const shared = { random, dataCentre: 'north-1', prefillTokensPerMs: 90 };
    const { reports } = this;
    this.placement = new LeastWorkPlacement({ ...shared, reports, metrics });
    this.pool = new EndpointPool(random, {
      ...shared,
      timeMs: () => 0,
      engineMemoryTokens: () => undefined,
      limiter: UNLIMITED,
      overloadGuard: UNGUARDED,
      leaving: new LeavingEndpoints(sharing),
      paused: new PausedEndpoints(sharing),
      placement: this.placement,
    });
    this.list(ids);
  }

  list(ids: readonly string[]): void {
    this.revision += 1;
    const endpoints = ids.map(recordOf);
    this.pool.apply({ revision: this.revision, endpoints });
  }

  /** Sends a request that takes a time by its endpoint, and returns the endpoint. */
  send(firstMsOf: (id: string) => number, load = IDLE, query = QUERY): string {
    const reservation = this.pool.reserve(query, this.nowMs);
    assert.ok(reservation);
    const { id } = reservation.endpoint;
    const firstMs = firstMsOf(id);
    this.nowMs += firstMs;
    reservation.recordLoad(load, this.nowMs);
    reservation.recordFirstEvent(this.nowMs);
    reservation.recordEvents?.(10);
    this.nowMs += firstMs;
    reservation.release(AttemptVerdict.Succeeded, this.nowMs);
    return id;
  }

  choose(query = QUERY): string | undefined {
    const reservation = this.pool.reserve(query, this.nowMs);
    reservation?.release(undefined, this.nowMs);
    return reservation?.endpoint.id;
  }
}

describe('LeastWorkPlacement', () => {
  it('makes daemons that know nothing of one another choose one endpoint for a shared prompt, and the next ones of the same order while that is busy', () => {
    const ids = Array.from({ length: 20 }, (_, index) => `endpoint-${index}`);
    const daemons = [1, 2, 3, 4, 5, 6].map(seed => new TestDaemon(ids, seed));
    const [preferred = '', ...others] = new Set(
      daemons.map(daemon => daemon.choose(SHARED_QUERY)),
    );
    assert.deepEqual(others, []);
    const [shared] = SHARED_QUERY.promptParts;
    assert.ok(shared);
    const otherParts = [shared, { id: 'other', tokens: 3_720 }];
    const busy = { running: 16, waiting: 12, slots: 16, slowdown: 1 };
    const alternatives = daemons.map(daemon => {
      for (const id of ids)
        daemon.reports.record(id, id === preferred ? busy : IDLE);
      return daemon.choose({ ...SHARED_QUERY, promptParts: otherParts });
    });
    const members = ids.map(id => createPoolMember(recordOf(id)));
    const order = new PreferredMembers().find(
      SHARED_QUERY.group,
      members,
      SHARED_QUERY.promptParts,
      () => true,
    );
    const [first, ...next] = order.map(({ record }) => record.id);
    assert.equal(preferred, first);
    for (const alternative of alternatives)
      assert.ok(next.includes(alternative ?? ''), alternative);
  });

  it('counts a slowdown as soon as one response tells it, and no longer once the next one says that it is over', () => {
    const daemon = new TestDaemon(['a', 'bb']);
    const slow = { ...IDLE, slowdown: 2.5 };
    const estimateAt = (id: string) => {
      const excluded = new Set(['a', 'bb'].filter(other => other !== id));
      const query = { ...QUERY, promptTokens: 17_000, excluded };
      const reservation = daemon.pool.reserve(query, daemon.nowMs);
      reservation?.release(undefined, daemon.nowMs);
      return Number(reservation?.placementFields?.().estimatedFirstMs);
    };
    const countOf = (id: string) => {
      const chosen = Array.from({ length: 40 }, () => daemon.choose());
      return chosen.filter(each => each === id).length;
    };
    daemon.reports.record('a', slow);
    daemon.reports.record('bb', IDLE);
    assert.ok(estimateAt('a') > estimateAt('bb') * 1.5);
    assert.ok(countOf('bb') >= 30);
    daemon.nowMs += 1;
    daemon.reports.record('a', IDLE);
    daemon.reports.record('bb', slow);
    assert.ok(estimateAt('bb') > estimateAt('a') * 1.5);
    assert.ok(countOf('a') >= 30);
  });

  it('spreads requests over endpoints of which it has no data, and over one that is added', () => {
    const daemon = new TestDaemon(['a', 'bb', 'ccc']);
    const before = Array.from({ length: 60 }, () => daemon.send(() => 30));
    for (const id of ['a', 'bb', 'ccc'])
      assert.ok(before.filter(each => each === id).length >= 6, id);
    daemon.list(['a', 'bb', 'ccc', 'dddd']);
    const after = Array.from({ length: 60 }, () => daemon.send(() => 30));
    assert.ok(after.filter(each => each === 'dddd').length >= 6);
  });

  it('prefers the faster of two endpoints, and gives one that looked slow a trial within 3 s', () => {
    const daemon = new TestDaemon(['a', 'bb']);
    const times = { a: 30, bb: 300 };
    const timeOf = (id: string) => times[id as keyof typeof times];
    for (let count = 0; count < 60; count += 1) daemon.send(timeOf);
    const late = Array.from({ length: 40 }, () => daemon.send(timeOf));
    assert.ok(late.filter(id => id === 'a').length >= 30);
    times.bb = 30;
    const lastAtMs = daemon.nowMs;
    while (daemon.send(timeOf) !== 'bb')
      assert.ok(daemon.nowMs - lastAtMs <= 3_000, 'no trial within 3 s');
  });

  it('states the estimate, its error and the age of the report that it used', () => {
    const daemon = new TestDaemon(['a']);
    daemon.reports.record('a', IDLE);
    daemon.nowMs += 100;
    const reservation = daemon.pool.reserve(QUERY, daemon.nowMs);
    const before = reservation?.placementFields?.() ?? {};
    assert.deepEqual(Object.keys(before), ['estimatedFirstMs', 'loadAgeMs']);
    reservation?.recordFirstEvent(daemon.nowMs + 50);
    const { estimatedFirstMs, estimateErrorMs } =
      reservation?.placementFields?.() ?? {};
    assert.equal(Number(estimatedFirstMs) + Number(estimateErrorMs), 50);
  });

  it('gives a finite cost whatever endpoints report', () => {
    const figure = fc.oneof(
      fc.double({ min: 0 }),
      fc.constantFrom(0, Infinity, NaN, Number.MAX_VALUE),
    );
    const load = fc.record({
      running: figure,
      waiting: figure,
      slots: figure,
      slowdown: figure,
    });
    fc.assert(
      fc.property(fc.array(load, { maxLength: 5 }), figure, (loads, ageMs) => {
        const daemon = new TestDaemon([]);
        const member = createPoolMember(recordOf('a'));
        for (const each of loads) {
          daemon.nowMs += 1;
          daemon.reports.record('a', each);
        }
        const query = { ...SHARED_QUERY, preferred: [member] };
        const peers = { running: 0, backlogTokens: 0 };
        const nowMs = daemon.nowMs + Math.min(ageMs || 0, 1e9);
        const costMs = daemon.placement.costMs(member, query, peers, nowMs);
        assert.ok(Number.isFinite(costMs), String(costMs));
      }),
      { seed: 11, numRuns: 300 },
    );
  });

  // The histogram of the estimate's error threw in the middle of a response.
  it('records no error of an estimate that is not finite', () => {
    const timings: number[] = [];
    const daemon = new TestDaemon(['a'], 1, {
      ...noopMetrics,
      timingMs: (_, elapsedMs) => timings.push(elapsedMs),
    });
    const slowdown = Number.MAX_VALUE;
    daemon.reports.record('a', { ...IDLE, running: 100, slowdown });
    daemon.send(() => 50);
    assert.ok(timings.every(each => Number.isFinite(each)));
  });
});
