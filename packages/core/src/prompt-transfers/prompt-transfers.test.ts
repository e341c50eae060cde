import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { warmEndpoint } from '../fakes/index.js';
import type {
  EndpointRecord,
  PoolQuery,
  TransferCapacity,
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
import { LeastWorkPlacement, LoadReports } from '../placement/index.js';
import { noopLog, noopMetrics, SeededRandom } from '../ports/index.js';
import { PromptTransfers } from './prompt-transfers.js';
import { RequestSources } from './request-sources.js';

const FAST: TransferCapacity = { bytesPerToken: 18_432, bytesPerMs: 22.5e6 };
/** A token takes 0.0094 ms, prefill 0.0111 ms. */
const SLOW: TransferCapacity = { bytesPerToken: 327_680, bytesPerMs: 35e6 };
/** Prefill always takes less time. */
const NEVER: TransferCapacity = { bytesPerToken: 1e9, bytesPerMs: 1 };
const SHARED = { id: 'shared', tokens: 13_300 };
const QUERY: PoolQuery = {
  group: 'ledger',
  excluded: new Set(),
  promptParts: [SHARED, { id: 'own', tokens: 3_700 }],
  promptTokens: 17_000,
  mayTransferPrompt: true,
};

class TestDaemon {
  nowMs = 10_000;
  readonly evacuated = new Set<string>();
  readonly paused: PausedEndpoints;
  readonly pool: EndpointPool;
  private revision = 0;
  private requests = 0;

  constructor(
    records: readonly EndpointRecord[],
    capacity = FAST,
    placesByWork = false,
  ) {
    const random = new SeededRandom(1);
    const telemetry = { log: noopLog, metrics: noopMetrics };
    const times = { nowMs: () => this.nowMs, clusterMs: () => this.nowMs };
    const shared = { dataCentre: 'north-1', prefillTokensPerMs: 90 };
    const reports = new LoadReports(times);
    const work = { ...shared, random, reports, metrics: noopMetrics };
    this.paused = new PausedEndpoints({ ...times, ...telemetry });
    this.pool = new EndpointPool(random, {
      ...shared,
      timeMs: () => 0,
      engineMemoryTokens: () => undefined,
      limiter: UNLIMITED,
      paused: this.paused,
      leaving: new LeavingEndpoints({ ...times, ...telemetry }),
      overloadGuard: UNGUARDED,
      isEvacuated: dataCentre => this.evacuated.has(dataCentre),
      ...(placesByWork && { placement: new LeastWorkPlacement(work) }),
      promptTransfers: new PromptTransfers({
        prefillTokensPerMs: 90,
        transferOf: () => capacity,
      }),
    });
    this.list(records);
  }

  list(endpoints: readonly EndpointRecord[]): void {
    this.revision += 1;
    this.pool.apply({ revision: this.revision, endpoints });
  }

  /** Reserves an endpoint for a request with the shared part and an own one. */
  reserve(only?: string, overrides: Partial<PoolQuery> = {}) {
    this.requests += 1;
    const all = this.pool.endpoints().map(({ id }) => id);
    const excluded = new Set(only && all.filter(id => id !== only));
    const own = { id: `own ${this.requests}`, tokens: 3_700 };
    const query = { ...QUERY, promptParts: [SHARED, own], excluded };
    const reservation = this.pool.reserve(
      { ...query, ...overrides },
      this.nowMs,
    );
    assert.ok(reservation);
    return reservation;
  }

  /** Has an endpoint serve a request, so that it has the shared part. */
  fill(id: string): void {
    const reservation = this.reserve(id);
    reservation.recordFirstEvent(this.nowMs);
    reservation.release(undefined, this.nowMs);
  }

  /** Returns the source that a request names which is sent to `id`. */
  sourceAt(id: string, overrides: Partial<PoolQuery> = {}): string | undefined {
    const reservation = this.reserve(id, overrides);
    reservation.release(undefined, this.nowMs);
    return reservation.promptSource?.endpoint.id;
  }
}

const IDS = ['a', 'b', 'c', 'd', 'e', 'f'];
const RECORDS = IDS.map(id => warmEndpoint(id));

/** Returns the endpoint that all daemons prefer for the shared part, and one that they do not prefer. */
function rankedIds(): { readonly first: string; readonly last: string } {
  const members = RECORDS.map(record => createPoolMember(record));
  const { group, promptParts } = QUERY;
  const ranked = new PreferredMembers().ranked(group, members, promptParts);
  const [first = '', ...others] = ranked.map(({ record }) => record.id);
  return { first, last: others.at(-1) ?? '' };
}

describe('PromptTransfers', () => {
  it('names the endpoint to which the daemon sent the part last, once it has delivered a first event', () => {
    const daemon = new TestDaemon(RECORDS);
    const { last } = rankedIds();
    const [target = '', other = ''] = IDS.filter(id => id !== last);
    const first = daemon.reserve(last);
    assert.notEqual(daemon.sourceAt(other), last);
    first.recordFirstEvent(daemon.nowMs);
    const source = daemon.reserve(target).promptSource;
    assert.equal(source?.endpoint.id, last);
  });

  it('names the endpoint that all daemons prefer if this one has sent the part to none, and none to itself', () => {
    const [left, right] = [new TestDaemon(RECORDS), new TestDaemon(RECORDS)];
    const sources = IDS.map(id => left.sourceAt(id));
    assert.deepEqual(
      IDS.map(id => right.sourceAt(id)),
      sources,
    );
    assert.ok(sources.every((source, index) => source !== IDS[index]));
  });

  it('names no endpoint that may still be prefilling the part, however much daemons prefer it', () => {
    const { first, last } = rankedIds();
    assert.equal(new TestDaemon(RECORDS).sourceAt(last), first);
    const daemon = new TestDaemon(RECORDS);
    daemon.reserve(first);
    assert.notEqual(daemon.sourceAt(last), first);
  });

  it('names none where prefill costs less, or the request may not', () => {
    const filled = (capacity: TransferCapacity) => {
      const daemon = new TestDaemon(RECORDS, capacity);
      daemon.fill('a');
      return daemon;
    };
    const daemon = filled(FAST);
    assert.equal(daemon.sourceAt('b'), 'a');
    assert.equal(daemon.sourceAt('c', { mayTransferPrompt: false }), undefined);
    const own = { id: 'own', tokens: 3_700 };
    const short = { id: 'shared', tokens: 300 };
    for (const promptParts of [[own], [short, own]])
      assert.equal(daemon.sourceAt('c', { promptParts }), undefined);
    for (const capacity of [NEVER, { bytesPerToken: 1, bytesPerMs: 0 }])
      assert.equal(filled(capacity).sourceAt('b'), undefined);
  });

  it('counts a transfer between data centres twice', () => {
    const remote = warmEndpoint('b', { dataCentre: 'south-1' });
    const daemon = new TestDaemon(
      [warmEndpoint('a'), remote, warmEndpoint('c')],
      SLOW,
    );
    daemon.fill('a');
    assert.equal(daemon.sourceAt('b'), undefined);
    assert.equal(daemon.sourceAt('c'), 'a');
  });

  const abroad = { dataCentre: 'south-1' };
  const allowedDataCentres = new Set(['north-1']);
  const unusable: Readonly<Record<string, (daemon: TestDaemon) => void>> = {
    leaves: daemon => {
      daemon.reserve('a').recordLeaving();
    },
    pauses: daemon => {
      daemon.paused.record(warmEndpoint('a'), 500);
    },
    'is silent': daemon => {
      daemon.reserve('a').recordSilence(daemon.nowMs);
    },
    fails: daemon => {
      daemon.reserve('a').release(AttemptVerdict.Failed, daemon.nowMs);
    },
    'is evacuated': daemon => {
      daemon.evacuated.add('south-1');
    },
    drains: daemon => {
      const draining = { ...abroad, state: EndpointState.Draining };
      daemon.list([warmEndpoint('a', draining), warmEndpoint('b')]);
    },
    'has started again': daemon => {
      daemon.list([
        warmEndpoint('a', { ...abroad, bornAtMs: 2 }),
        warmEndpoint('b'),
      ]);
      daemon.reserve('a');
    },
  };
  for (const [reason, make] of Object.entries(unusable)) {
    it(`names no endpoint that ${reason}`, () => {
      const daemon = new TestDaemon([
        warmEndpoint('a', abroad),
        warmEndpoint('b'),
      ]);
      daemon.fill('a');
      make(daemon);
      assert.equal(daemon.sourceAt('b'), undefined);
    });
  }

  it('names no endpoint of another version or outside the home regions', () => {
    const sourceOf = (source: object, query: Partial<PoolQuery> = {}) => {
      const daemon = new TestDaemon([
        warmEndpoint('a', source),
        warmEndpoint('b'),
      ]);
      daemon.fill('a');
      return daemon.sourceAt('b', query);
    };
    assert.equal(sourceOf(abroad), 'a');
    assert.equal(sourceOf({ version: 'v2' }), undefined);
    assert.equal(sourceOf(abroad, { allowedDataCentres }), undefined);
  });

  it('bounds the transfers in progress from one endpoint, and names another holder beyond', () => {
    const daemon = new TestDaemon(IDS.map(id => warmEndpoint(id)));
    daemon.fill('a');
    const [, ...targets] = IDS;
    const running = targets.map(id => daemon.reserve(id));
    const sources = running.map(each => each.promptSource?.endpoint.id);
    assert.equal(sources.filter(id => id === 'a').length, 3);
    for (const each of running) each.release(undefined, daemon.nowMs);
    daemon.list([warmEndpoint('a'), warmEndpoint('g')]);
    assert.equal(daemon.sourceAt('g'), 'a');
  });

  it('prefills rather than wait for another transfer of the source', () => {
    const daemon = new TestDaemon(RECORDS, SLOW);
    const { last } = rankedIds();
    daemon.fill(last);
    const [b = '', c = '', d = ''] = IDS.filter(id => id !== last);
    const first = daemon.reserve(b);
    assert.equal(first.promptSource?.endpoint.id, last);
    assert.notEqual(daemon.sourceAt(c), last);
    first.recordFirstEvent(daemon.nowMs);
    daemon.fill(last);
    assert.equal(daemon.sourceAt(d), last);
  });

  for (const placesByWork of [false, true]) {
    it(`uses a free endpoint where the one that has the prompt is busy (leastWork: ${placesByWork})`, () => {
      const choose = (capacity: TransferCapacity) => {
        const ends = ['a', 'b'].map(id => warmEndpoint(id, { slots: 40 }));
        const daemon = new TestDaemon(ends, capacity, placesByWork);
        daemon.fill('a');
        for (let count = 0; count < 15; count += 1)
          daemon.reserve('a').recordFirstEvent(daemon.nowMs);
        return daemon.reserve().endpoint.id;
      };
      assert.equal(choose(NEVER), 'a');
      assert.equal(choose(FAST), 'b');
    });
  }

  // Requests went to engines whose sources had nothing, and shared parts were prefilled more often than without transfers.
  it('counts on no source of which this daemon does not know that it has the part', () => {
    const { last } = rankedIds();
    const tokensAt = (knowsHolder: boolean) => {
      const daemon = new TestDaemon(RECORDS);
      if (knowsHolder) daemon.fill(last);
      const target = IDS.find(id => id !== last) ?? '';
      const { promptSource } = daemon.reserve(target);
      assert.ok(promptSource);
      return daemon.pool.ownLoad().get(target)?.backlogTokens;
    };
    assert.equal(tokensAt(true), 3_700);
    assert.equal(tokensAt(false), 17_000);
  });

  it('never names the endpoint itself, another version or a transfer that takes longer than prefill', () => {
    const members = ['a', 'b', 'c', 'd'].map((id, index) =>
      createPoolMember(
        warmEndpoint(id, {
          version: index === 2 ? 'v2' : 'v1',
          dataCentre: index % 2 === 0 ? 'north-1' : 'south-1',
        }),
      ),
    );
    const upTo = (max: number) => fc.double({ min: 0, max, noNaN: true });
    const member = fc.constantFrom(...members);
    const source = fc.record({ member, uncachedTokens: upTo(50_000) });
    const sources = fc.array(source, { maxLength: 3 });
    const msPerToken = fc.oneof(upTo(0.05), fc.constantFrom(NaN, Infinity));
    const rate = fc.double({ min: 1, max: 200, noNaN: true });
    fc.assert(
      fc.property(
        fc.tuple(sources, sources, member, upTo(50_000)),
        fc.tuple(msPerToken, rate, upTo(300)),
        ([confirmed, likely, target, uncachedTokens], [ms, perMs, busyMs]) => {
          const transfer = new RequestSources(confirmed, () => likely, {
            msPerToken: ms,
            prefillTokensPerMs: perMs,
            busyUntilMs: ({ record }) => (record.id === 'a' ? busyMs : 0),
            nowMs: 0,
          }).requestFor(target, uncachedTokens);
          if (transfer === undefined) return;
          assert.notEqual(transfer.source, target);
          assert.equal(transfer.source.record.version, target.record.version);
          assert.ok(transfer.tokens <= uncachedTokens);
          const totalMs = transfer.waitMs + transfer.durationMs;
          assert.ok(totalMs < transfer.tokens / perMs);
        },
      ),
      { seed: 7, numRuns: 500 },
    );
  });
});
