import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { noopLog, noopMetrics, SeededRandom } from '../ports/index.js';
import type { ColdStartGuard } from './cold-start-guard.js';
import { NEVER_COLD } from './cold-start-guard.js';
import { UNLIMITED } from './endpoint-limiter.js';
import { EndpointPool } from './endpoint-pool.js';
import type { EndpointRecord } from './endpoint-record.js';
import { EndpointState } from './endpoint-record.js';
import { sampleEndpoint } from './fakes/index.js';
import { LeavingEndpoints } from './leaving-endpoints.js';
import type { OverloadGuard } from './overload-guard.js';
import { UNGUARDED } from './overload-guard.js';
import { PausedEndpoints } from './paused-endpoints.js';
import type { PoolQuery } from './pool-query.js';
import { AttemptVerdict } from './pool-reservation.js';

const query: PoolQuery = {
  group: 'ledger',
  excluded: new Set(),
  promptParts: [],
  promptTokens: 0,
};

const draftQuery: PoolQuery = {
  ...query,
  promptParts: [
    { id: 'shared', tokens: 13_300 },
    { id: 'own', tokens: 3_700 },
  ],
  promptTokens: 17_000,
};

const otherDraftQuery: PoolQuery = {
  ...draftQuery,
  promptParts: [
    { id: 'shared elsewhere', tokens: 13_300 },
    { id: 'own elsewhere', tokens: 3_700 },
  ],
};

function createPool(
  ids: readonly string[],
  seed = 1,
  memoryTokens: () => number | undefined = () => undefined,
  overloadGuard: OverloadGuard = UNGUARDED,
  coldStarts: ColdStartGuard = NEVER_COLD,
): EndpointPool {
  const pool = new EndpointPool(new SeededRandom(seed), {
    dataCentre: 'north-1',
    prefillTokensPerMs: 90,
    timeMs: () => 0,
    engineMemoryTokens: memoryTokens,
    limiter: UNLIMITED,
    paused: new PausedEndpoints({
      nowMs: () => 0,
      log: noopLog,
      metrics: noopMetrics,
    }),
    leaving: new LeavingEndpoints({
      nowMs: () => 0,
      log: noopLog,
      metrics: noopMetrics,
    }),
    overloadGuard,
    coldStarts,
  });
  pool.apply({ revision: 1, endpoints: ids.map(id => sampleEndpoint(id)) });
  return pool;
}

function chooseEndpoint(pool: EndpointPool, poolQuery = query, nowMs = 0) {
  return pool.reserve(poolQuery, nowMs)?.endpoint.id;
}

describe('EndpointPool', () => {
  // A request that could have waited was refused, as the group counted as open for 10 ms more.
  it('counts a group as closed once no endpoint was found for a request', () => {
    let waitMs = 0;
    const pool = createPool(['a', 'b'], 1, undefined, {
      ...UNGUARDED,
      waitMs: () => waitMs,
    });
    assert.ok(pool.room('ledger', 0).openSlots > 0);
    waitMs = 300;
    assert.equal(chooseEndpoint(pool), undefined);
    assert.equal(pool.room('ledger', 0).openSlots, 0);
  });

  it('sends nothing to an endpoint that its guard withholds, and knows for how long', () => {
    const waits = new Map([
      ['a', 300],
      ['bb', 0],
    ]);
    const pool = createPool(['a', 'bb'], 1, undefined, {
      ...UNGUARDED,
      waitMs: ({ id }) => waits.get(id) ?? 0,
    });
    assert.equal(pool.busyForMs('ledger', 0), undefined);
    for (let count = 0; count < 10; count += 1) {
      assert.equal(chooseEndpoint(pool), 'bb');
    }
    waits.set('bb', 200);
    assert.equal(chooseEndpoint(pool), undefined);
    assert.equal(pool.busyForMs('ledger', 0), 200);
  });

  // It was told to return at once, although only endpoints of another version or data centre were free.
  it('names the wait at those endpoints that a request may use', () => {
    const pool = createPool([], 1, undefined, {
      ...UNGUARDED,
      waitMs: ({ id }) => (id === 'busy' ? 300 : 0),
    });
    const busy = sampleEndpoint('busy', { dataCentre: 'south-1' });
    const free = sampleEndpoint('free', { version: 'v2' });
    pool.apply({ revision: 9, endpoints: [busy, free] });
    const allowedDataCentres = new Set(['south-1']);
    assert.equal(pool.busyForMs('ledger', 0), undefined);
    assert.equal(pool.busyForMs('ledger', 0, { allowedDataCentres }), 300);
    assert.equal(pool.busyForMs('ledger', 0, { notVersion: 'v2' }), 300);
    assert.equal(pool.busyForMs('ledger', 0, { notVersion: 'v1' }), undefined);
  });

  it('sends a cold endpoint only what its guard lets through, and prefers the others', () => {
    const waits = new Map([['a', 0]]);
    let ended = 0;
    const coldStarts = {
      ...NEVER_COLD,
      waitMs: ({ id }: EndpointRecord) => waits.get(id) ?? 0,
      recordDispatch: () => ({
        mayWrite: () => false,
        end: () => (ended += 1),
      }),
    };
    const pool = createPool(['a'], 1, undefined, UNGUARDED, coldStarts);
    const reservation = pool.reserve(query, 0);
    assert.equal(reservation?.mayWrite?.(), false);
    reservation.release(undefined, 0);
    assert.equal(ended, 1);
    waits.set('a', 400);
    assert.equal(pool.reserve(query, 0), undefined);
    assert.equal(pool.busyForMs('ledger', 0), 400);
    const cold = sampleEndpoint('a', { coldRemainingMs: 8_000 });
    pool.apply({ revision: 2, endpoints: [cold, sampleEndpoint('bb')] });
    waits.clear();
    assert.equal(chooseEndpoint(pool), 'bb');
  });

  it('does not take a request that it withholds itself for a failure of the endpoint', () => {
    const withheld = { mayWrite: () => false, end: () => undefined };
    const coldStarts = { ...NEVER_COLD, recordDispatch: () => withheld };
    const pool = createPool(['a'], 1, undefined, UNGUARDED, coldStarts);
    const reservation = pool.reserve(query, 0);
    assert.equal(reservation?.mayWrite?.(), false);
    reservation.release(AttemptVerdict.Failed, 0);
    const [state] = pool.dumpState(0) as { readonly failureShare: number }[];
    assert.equal(state?.failureShare, 0);
  });

  it('spreads requests over equivalent endpoints', () => {
    const pool = createPool(['a', 'bb', 'ccc']);
    const counts = new Map<string, number>();
    for (let count = 0; count < 30; count += 1) {
      const id = chooseEndpoint(pool) ?? '';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    for (const count of counts.values()) assert.ok(count >= 5);
  });

  it('expects a prompt to be uncached once others have filled the cache of its engine', () => {
    const backlogTokensAt = (memoryTokens: number) => {
      const pool = createPool(['a'], 1, () => memoryTokens);
      pool.reserve(draftQuery, 0);
      pool.reserve(otherDraftQuery, 0);
      pool.reserve(draftQuery, 0);
      return pool.ownLoad().get('a')?.backlogTokens;
    };
    assert.equal(backlogTokensAt(450_000), 34_000);
    assert.equal(backlogTokensAt(30_000), 51_000);
  });

  // A list that came before the configuration left engines with the capacity that is assumed without one.
  it('knows the cache of an engine whose configuration comes after its listing, or changes', () => {
    const capacities: number[] = [];
    const pool = createPool(['a'], 1, () => capacities[0]);
    capacities.push(30_000);
    for (const each of [draftQuery, otherDraftQuery, draftQuery])
      pool.reserve(each, 0);
    assert.equal(pool.ownLoad().get('a')?.backlogTokens, 51_000);
  });

  it('ignores an older listing', () => {
    const pool = createPool(['a']);
    const endpoints = [sampleEndpoint('bb')];
    assert.equal(pool.apply({ revision: 5, endpoints }), true);
    const older = { revision: 4, endpoints: [sampleEndpoint('a')] };
    assert.equal(pool.apply(older), false);
    assert.equal(chooseEndpoint(pool), 'bb');
  });

  it('sends no new requests to a draining or unlisted endpoint', () => {
    const pool = createPool(['a', 'bb']);
    const draining = sampleEndpoint('a', { state: EndpointState.Draining });
    const endpoints = [draining, sampleEndpoint('bb')];
    pool.apply({ revision: 2, endpoints });
    for (let count = 0; count < 9; count += 1)
      assert.equal(chooseEndpoint(pool), 'bb');
    pool.apply({ revision: 3, endpoints: [draining] });
    assert.equal(chooseEndpoint(pool), undefined);
  });

  it('retains endpoints whose entries expired while the store was unavailable, until the given time', () => {
    const pool = createPool(['a', 'bb']);
    pool.apply({ revision: 2, endpoints: [sampleEndpoint('bb')] }, 1_000);
    const before = new Set(
      Array.from({ length: 12 }, () => chooseEndpoint(pool, query, 999)),
    );
    assert.deepEqual(before, new Set(['a', 'bb']));
    assert.equal(chooseEndpoint(pool, query, 1_000), 'bb');
    pool.apply({ revision: 3, endpoints: [sampleEndpoint('bb')] });
    assert.deepEqual(
      pool.endpoints().map(each => each.id),
      ['bb'],
    );
  });

  it('does not retain an unlisted endpoint while most of its group is listed, as a daemon that was cut off alone would', () => {
    const pool = createPool(['a', 'bb', 'ccc']);
    const endpoints = [sampleEndpoint('bb'), sampleEndpoint('ccc')];
    pool.apply({ revision: 2, endpoints }, 1_000);
    for (let count = 0; count < 12; count += 1)
      assert.notEqual(chooseEndpoint(pool, query, 999), 'a');
  });

  it('does not retain an unlisted endpoint that was draining or whose address is reused', () => {
    const pool = createPool(['a', 'bb']);
    const draining = sampleEndpoint('a', { state: EndpointState.Draining });
    pool.apply({ revision: 2, endpoints: [draining, sampleEndpoint('bb')] });
    const { address } = sampleEndpoint('bb');
    const other = sampleEndpoint('ccc', { address, group: 'other' });
    pool.apply({ revision: 3, endpoints: [other] }, 1_000);
    assert.equal(chooseEndpoint(pool), undefined);
  });

  it('avoids a failing endpoint, and tries it again later', () => {
    const pool = createPool(['a', 'bb']);
    for (let count = 0; count < 8; count += 1) {
      const reservation = pool.reserve(query, 0);
      const isBad = reservation?.endpoint.id === 'a';
      const verdict = isBad ? AttemptVerdict.Failed : AttemptVerdict.Succeeded;
      reservation?.release(verdict, 0);
    }
    const ids = Array.from({ length: 5 }, () => {
      const reservation = pool.reserve(query, 10);
      reservation?.release(AttemptVerdict.Succeeded, 10);
      return reservation?.endpoint.id;
    });
    assert.deepEqual(new Set(ids), new Set(['bb']));
    const later = Array.from({ length: 20 }, () =>
      chooseEndpoint(pool, query, 60_000),
    );
    assert.ok(later.includes('a'));
  });

  it('makes daemons prefer the same endpoint for a shared prompt without communication', () => {
    const ids = ['a', 'bb', 'ccc', 'dddd'];
    const preferredIds = [1, 2, 3, 4, 5].map(seed =>
      chooseEndpoint(createPool(ids, seed), draftQuery),
    );
    assert.equal(new Set(preferredIds).size, 1);
  });

  it('leaves the preferred endpoint when its backlog is long', () => {
    const pool = createPool(['a', 'bb', 'ccc', 'dddd']);
    const preferred = chooseEndpoint(pool, draftQuery) ?? '';
    pool.applyPeerLoad(
      new Map([[preferred, { running: 40, backlogTokens: 900_000 }]]),
    );
    assert.notEqual(chooseEndpoint(pool, draftQuery), preferred);
  });

  it('chooses only versions that the query allows', () => {
    const pool = createPool([]);
    const endpoints = [
      sampleEndpoint('a', { version: 'v1' }),
      sampleEndpoint('bb', { version: 'v2' }),
    ];
    pool.apply({ revision: 2, endpoints });
    assert.equal(chooseEndpoint(pool, { ...query, onlyVersion: 'v2' }), 'bb');
    assert.equal(chooseEndpoint(pool, { ...query, notVersion: 'v2' }), 'a');
    assert.equal(
      chooseEndpoint(pool, { ...query, onlyVersion: 'v3' }),
      undefined,
    );
  });

  it('gives an endpoint whose first response was slow a trial within 3 s, and its share after it', () => {
    const pool = createPool(['a', 'bb']);
    const slow = pool.reserve(query, 0);
    slow?.recordFirstEvent(900);
    slow?.release(AttemptVerdict.Succeeded, 900);
    const chosenAtMs: number[] = [];
    for (let nowMs = 900; nowMs < 9_000; nowMs += 50) {
      const reservation = pool.reserve(query, nowMs);
      if (reservation?.endpoint.id === slow?.endpoint.id)
        chosenAtMs.push(nowMs);
      reservation?.recordFirstEvent(nowMs + 25);
      reservation?.release(AttemptVerdict.Succeeded, nowMs + 25);
    }
    assert.ok((chosenAtMs[0] ?? Infinity) <= 3_900);
    const later = chosenAtMs.filter(atMs => atMs > 4_000);
    assert.ok(later.length >= 20, `chosen ${later.length} times`);
  });

  it('sends one request at a time to an endpoint on trial that is still slow', () => {
    const pool = createPool(['a', 'bb']);
    const slow = pool.reserve(query, 0);
    slow?.recordFirstEvent(900);
    slow?.release(AttemptVerdict.Succeeded, 900);
    const other = pool.reserve(query, 900);
    other?.recordFirstEvent(925);
    other?.release(AttemptVerdict.Succeeded, 925);
    let trials = 0;
    for (let nowMs = 3_000; nowMs < 4_000; nowMs += 50) {
      const reservation = pool.reserve(query, nowMs);
      if (reservation?.endpoint.id === slow?.endpoint.id) {
        trials += 1;
        continue;
      }
      reservation?.recordFirstEvent(nowMs + 25);
      reservation?.release(AttemptVerdict.Succeeded, nowMs + 25);
    }
    assert.equal(trials, 1);
  });

  it('counts the slots that recent reports show free, at most one of each endpoint', () => {
    const pool = createPool(['a', 'bb']);
    const none = { freeSlots: 0, totalSlots: 8, openSlots: 8, isKnown: false };
    assert.deepEqual(pool.room('ledger', 0), none);
    const reservation = pool.reserve(query, 0);
    reservation?.recordLoad({ running: 1, waiting: 0, slots: 4 }, 100);
    const known = { ...none, freeSlots: 1, isKnown: true };
    assert.deepEqual(pool.room('ledger', 100), known);
    assert.deepEqual(pool.room('ledger', 1_200), none);
    reservation?.recordLoad({ running: 4, waiting: 2, slots: 4 }, 1_300);
    assert.equal(pool.room('ledger', 1_300).freeSlots, 0);
    reservation?.recordPause(500);
    assert.equal(pool.room('ledger', 1_300).openSlots, 4);
    assert.equal(pool.room('other', 0).totalSlots, 0);
  });

  it('skips endpoints without known room where the query requires it', () => {
    const pool = createPool(['a', 'bb']);
    const roomy = { ...query, requiresRoom: true };
    for (let sent = 0; sent < 8; sent += 1)
      assert.notEqual(pool.reserve(roomy, 0), undefined);
    assert.equal(pool.reserve(roomy, 0), undefined);
    assert.notEqual(pool.reserve(query, 0), undefined);
  });
});
