import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';

import { warmEndpoint } from '../fakes/index.js';
import type { ColdStart, EndpointRecord } from '../forwarding/index.js';
import { KnownDaemons } from '../membership/index.js';
import { noopLog, noopMetrics } from '../ports/index.js';
import { ColdStarts } from './cold-starts.js';

const COLD_MS = 10_000;
const EPOCH_MS = 1_000_000;
const endpoint = warmEndpoint('e');

describe('ColdStarts', () => {
  let nowMs: number;
  let coldStart: ColdStart | undefined;
  let confirmedAtMs: number;
  let guard: ColdStarts;

  beforeEach(() => {
    nowMs = 0;
    coldStart = { durationMs: COLD_MS, requestsPerSecond: 1 };
    confirmedAtMs = -Infinity;
    guard = createGuard(['d0']);
    guard.applyListing([endpoint], 0);
    advanceTo(5_000);
  });

  function createGuard(listedIds?: readonly string[]): ColdStarts {
    const daemons = new KnownDaemons({
      ownId: 'd0',
      nowMs: () => nowMs,
      livePeers: () => [],
    });
    if (listedIds !== undefined) daemons.recordListed(listedIds);
    return new ColdStarts({
      ownId: 'd0',
      nowMs: () => nowMs,
      timeMs: () => EPOCH_MS + nowMs,
      daemons,
      bound: { overage: 2, slack: 2 },
      coldStartOf: () => coldStart,
      listConfirmedAtMs: () => confirmedAtMs,
      log: noopLog,
      metrics: noopMetrics,
    });
  }

  function advanceTo(atMs: number, each = guard): void {
    for (; nowMs < atMs; nowMs += 500) void each.step();
    void each.step();
  }

  /** Whether the endpoint gets only the requests that it tolerates while it is cold. */
  function isCold(record: EndpointRecord = endpoint, each = guard): boolean {
    while (each.waitMs(record) === 0) {
      const dispatch = each.recordDispatch(record);
      assert.ok(dispatch.mayWrite());
      sent += 1;
      if (sent > 20) return false;
    }
    return true;
  }
  let sent = 0;
  beforeEach(() => {
    sent = 0;
  });

  /** Lists the endpoint anew and returns how it is listed. */
  function list(overrides: Partial<EndpointRecord>, readAtMs = nowMs) {
    const record = { ...endpoint, ...overrides };
    guard.applyListing([record], readAtMs);
    return record;
  }

  it('leaves an endpoint alone that has been listed since the first list, and groups that are never cold', () => {
    assert.equal(isCold(), false);
    coldStart = undefined;
    assert.equal(isCold(list({ coldRemainingMs: 9_000 })), false);
  });

  it('counts the remaining time of an entry from when the list was read, also while the store is down', () => {
    list({ coldRemainingMs: 4_000 });
    advanceTo(8_500);
    assert.equal(isCold(), true);
    advanceTo(9_000);
    assert.equal(isCold(), false);
  });

  it('takes the statement of a response, which a list does not end', () => {
    guard.recordStatement(endpoint, 3_000);
    list({});
    assert.equal(isCold(), true);
    advanceTo(8_000);
    assert.equal(isCold(), false);
  });

  it('takes an endpoint for cold whose incarnation is new, or that earlier lists lacked', () => {
    const restarted = list({ bornAtMs: EPOCH_MS + nowMs - 1_000 });
    assert.equal(isCold(restarted), true);
    const added = warmEndpoint('f');
    guard.applyListing([restarted, added], nowMs);
    assert.equal(isCold(added), true);
    advanceTo(nowMs + COLD_MS);
    assert.equal(isCold(restarted), false);
  });

  it('does not take endpoints for new whose entries expired while the store was down', () => {
    guard.applyListing([], nowMs);
    advanceTo(30_000);
    list({});
    assert.equal(isCold(), false);
  });

  const suspicions = {
    'whose connection was refused or reset': () => {
      guard.recordConnectionFailure(endpoint);
    },
    'whose data centre was evacuated': () => {
      guard.recordEvacuationEnd(endpoint.dataCentre);
    },
  };
  for (const [name, suspect] of Object.entries(suspicions)) {
    it(`takes an endpoint for cold ${name}, until a later list shows it as warm and for its cold time at least`, () => {
      suspect();
      list({}, nowMs - 1);
      advanceTo(20_000);
      assert.equal(isCold(), true, 'the list was read before');
      list({ coldRemainingMs: 0 }, nowMs);
      assert.equal(isCold(), false);
      suspect();
      advanceTo(nowMs + 500);
      list({});
      assert.equal(isCold(), true, 'its cold time has not passed');
    });
  }

  it('takes a read of a peer that confirms the list in use for a later list', () => {
    guard.recordConnectionFailure(endpoint);
    advanceTo(16_000);
    assert.equal(isCold(), true);
    confirmedAtMs = 5_001;
    assert.equal(isCold(), false);
  });

  it('sends nothing to a cold endpoint while it knows no daemons, and for a while after its start', () => {
    for (const listed of [undefined, ['d0']]) {
      const started = createGuard(listed);
      started.applyListing([{ ...endpoint, coldRemainingMs: 60_000 }], nowMs);
      advanceTo(nowMs + 2_000, started);
      assert.ok(started.waitMs(endpoint) > 0);
      advanceTo(nowMs + 2_000, started);
      assert.equal(started.waitMs(endpoint) === 0, listed !== undefined);
    }
  });

  it('does not send on its return from a pause what it had chosen an endpoint for before', () => {
    list({ coldRemainingMs: 60_000 });
    const dispatch = guard.recordDispatch(endpoint);
    nowMs += 4_000; // no steps meanwhile
    assert.equal(dispatch.mayWrite(), false);
    dispatch.end();
    assert.ok(guard.waitMs(endpoint) > 0);
    advanceTo(nowMs + 3_000);
    assert.equal(guard.waitMs(endpoint), 0);
  });

  it('lets nothing accrue for a request that is yet to be written, and returns what is not', () => {
    list({ coldRemainingMs: 60_000 });
    const late = guard.recordDispatch(endpoint);
    advanceTo(nowMs + 1_000);
    assert.ok(guard.waitMs(endpoint) > 0);
    assert.equal(late.mayWrite(), true);
    assert.ok(guard.waitMs(endpoint) > 0);
    advanceTo(nowMs + 1_000);
    guard.recordDispatch(endpoint).end();
    assert.equal(guard.waitMs(endpoint), 0);
  });

  it('refuses to write what was chosen before the endpoint became cold, beyond its share', () => {
    const early = Array.from({ length: 5 }, () =>
      guard.recordDispatch(endpoint),
    );
    guard.recordStatement(endpoint, 5_000);
    const written = early.filter(each => each.mayWrite());
    assert.equal(written.length, 1);
  });

  it('refuses beyond its share what was chosen for an earlier incarnation, before or while that was cold', () => {
    for (const coldRemainingMs of [0, 60_000]) {
      list({ coldRemainingMs });
      advanceTo(nowMs + 2_000);
      const early = Array.from({ length: 5 }, () =>
        guard.recordDispatch(endpoint),
      );
      const restarted = list({
        bornAtMs: EPOCH_MS + nowMs,
        coldRemainingMs: 60_000,
      });
      const late = guard.recordDispatch(restarted);
      const written = [...early, late].filter(each => each.mayWrite());
      assert.equal(written.length, 1);
      for (const each of [...early, late]) each.end();
      advanceTo(nowMs + COLD_MS);
    }
  });

  it('passes on how long endpoints stay cold, which does not grow by being passed on', () => {
    const peer = createGuard(['d0']);
    peer.applyListing([endpoint], 0);
    guard.recordStatement(endpoint, 3_000);
    void guard.step();
    const [hint] = guard.hints();
    assert.equal(hint?.coldUntilMs, EPOCH_MS + 8_000);
    nowMs += 1_000;
    peer.applyPeer(guard.hints());
    advanceTo(nowMs, peer);
    assert.deepEqual(peer.hints(), guard.hints());
    assert.equal(isCold(endpoint, peer), true);
    advanceTo(8_000, peer);
    assert.equal(isCold(endpoint, peer), false);
  });

  it('does not believe a peer with another clock, nor pass on what it only suspects', () => {
    const until = EPOCH_MS + nowMs + COLD_MS + 5_000;
    guard.applyPeer([{ endpointId: 'e', bornAtMs: 1, coldUntilMs: until }]);
    assert.equal(isCold(), false);
    guard.recordConnectionFailure(endpoint);
    void guard.step();
    assert.deepEqual(guard.hints(), []);
  });

  it('applies a changed configuration to endpoints that it knows', () => {
    list({ coldRemainingMs: 60_000 });
    coldStart = { durationMs: COLD_MS, requestsPerSecond: 0.1 };
    guard.recordDispatch(endpoint).mayWrite();
    assert.ok(guard.waitMs(endpoint) > 5_000);
  });
});
