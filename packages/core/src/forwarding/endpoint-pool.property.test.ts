import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { noopLog, noopMetrics, SeededRandom } from '../ports/index.js';
import { hash32 } from '../routing/index.js';
import type { GroupRoom } from './dispatch-gate.js';
import { UNLIMITED } from './endpoint-limiter.js';
import { EndpointPool } from './endpoint-pool.js';
import type { EndpointRecord } from './endpoint-record.js';
import { sampleEndpoint } from './fakes/index.js';
import type { ReportedLoad } from './forward-request.js';
import { LeavingEndpoints } from './leaving-endpoints.js';
import { UNGUARDED } from './overload-guard.js';
import { PausedEndpoints } from './paused-endpoints.js';
import type { PlacementPolicy, PlacementQuery } from './placement-policy.js';
import type { PoolReservation } from './pool-reservation.js';

const GROUPS = ['engines', 'ledger'];
const DATA_CENTRES = ['north-1', 'north-2', 'north-3'];
/** More than twice the number of endpoints whose order is kept for a shared part. */
const ENDPOINTS = 320;
const SLOTS = 2;
const SHARED_PARTS = 3;
const REPORT_TTL_MS = 1_000;
const MAX_PREFERRED = 8;

/** What the plain choice knows of an endpoint. */
interface Known {
  record: EndpointRecord;
  running: number;
  sentSinceReport: number;
  load?: ReportedLoad;
  reportedAtMs: number;
  pausedUntilMs: number;
  isLeaving: boolean;
}

enum Reply {
  None,
  Load,
  Pause,
  Leaving,
}

const step = fc.record({
  afterMs: fc.constantFrom(0, 0, 0, 10, 400, 1_000),
  lists: fc.option(fc.integer(), { freq: 8 }),
  evacuates: fc.option(fc.nat(DATA_CENTRES.length - 1), { freq: 8 }),
  group: fc.constantFrom(...GROUPS),
  part: fc.nat(SHARED_PARTS),
  requiresRoom: fc.boolean(),
  reply: fc.constantFrom(Reply.None, Reply.Load, Reply.Pause, Reply.Leaving),
  running: fc.nat(SLOTS),
  ends: fc.boolean(),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Costs that depend on the endpoint and the request alone, and what the pool compared. */
class RecordingPlacement implements PlacementPolicy {
  compared: string[] = [];
  preferred: readonly string[] = [];
  costOf = (id: string) => hash32(id);

  costMs(
    { record }: { record: EndpointRecord },
    { preferred }: PlacementQuery,
  ): number {
    this.compared.push(record.id);
    this.preferred = preferred.map(each => each.record.id);
    return this.costOf(record.id);
  }
}

/** A pool beside a model that looks at all endpoints each time. */
class Comparison {
  private nowMs = 10_000;
  private revision = 0;
  private known = new Map<string, Known>();
  private readonly evacuated = new Set<string>();
  private readonly placement = new RecordingPlacement();
  private readonly sent: { known: Known; reservation: PoolReservation }[] = [];
  private readonly pool: EndpointPool;

  constructor() {
    const sharing = {
      nowMs: () => this.nowMs,
      log: noopLog,
      metrics: noopMetrics,
    };
    this.pool = new EndpointPool(new SeededRandom(1), {
      dataCentre: 'north-1',
      prefillTokensPerMs: 90,
      timeMs: () => this.nowMs,
      engineMemoryTokens: () => undefined,
      limiter: UNLIMITED,
      overloadGuard: UNGUARDED,
      paused: new PausedEndpoints(sharing),
      leaving: new LeavingEndpoints(sharing),
      isEvacuated: dataCentre => this.evacuated.has(dataCentre),
      placement: this.placement,
    });
    this.list(0);
  }

  run(step: Step): void {
    this.nowMs += step.afterMs;
    if (step.lists !== null) this.list(step.lists);
    if (step.evacuates !== null)
      this.toggleEvacuation(DATA_CENTRES[step.evacuates] ?? '');
    for (const group of GROUPS)
      assert.deepEqual(this.pool.room(group, this.nowMs), this.roomOf(group));
    this.send(step);
    for (const group of GROUPS)
      assert.deepEqual(this.pool.room(group, this.nowMs), this.roomOf(group));
    if (step.ends) this.endOldest();
  }

  /** Lists about three in four of the endpoints, and starts some again. */
  private list(seed: number): void {
    this.revision += 1;
    const next = new Map<string, Known>();
    for (let number = 0; number < ENDPOINTS; number += 1) {
      const id = `e${number}`;
      const before = this.known.get(id);
      const draw = hash32(id, seed) % 16;
      if (seed !== 0 && draw < 4) continue;
      const bornAtMs = draw === 4 ? this.revision : before?.record.bornAtMs;
      const record = sampleEndpoint(id, {
        group: GROUPS[number % 7 === 0 ? 1 : 0] ?? '',
        dataCentre: DATA_CENTRES[number % DATA_CENTRES.length] ?? '',
        slots: SLOTS,
        bornAtMs: bornAtMs ?? this.revision,
      });
      const isSame = before?.record.bornAtMs === record.bornAtMs;
      next.set(id, before !== undefined && isSame ? before : plainly(record));
    }
    this.known = next;
    const endpoints = [...next.values()].map(({ record }) => record);
    this.pool.apply({ revision: this.revision, endpoints });
  }

  private toggleEvacuation(dataCentre: string): void {
    if (!this.evacuated.delete(dataCentre)) this.evacuated.add(dataCentre);
  }

  private send({ group, part, reply, requiresRoom, running }: Step): void {
    const promptParts =
      part === 0
        ? []
        : [
            { id: `shared ${part}`, tokens: 100 },
            { id: 'own', tokens: 10 },
          ];
    const excluded = new Set(['e1', 'e14']);
    const { placement } = this;
    placement.compared = [];
    placement.preferred = [];
    placement.costOf = id => hash32(id, this.sent.length + this.nowMs);
    const reservation = this.pool.reserve(
      { group, excluded, promptParts, promptTokens: 110, requiresRoom },
      this.nowMs,
    );
    const allowed = this.usableIn(group).filter(
      each =>
        this.nowMs >= each.pausedUntilMs &&
        !excluded.has(each.record.id) &&
        (!requiresRoom || this.runningAt(each) < SLOTS),
    );
    const ids = allowed.map(each => each.record.id);
    assert.deepEqual(placement.compared, ids);
    if (part > 0 && ids.length > 0)
      assert.deepEqual(placement.preferred, preferredFor(part, ids));
    const [cheapest] = [...ids].sort(
      (left, right) => placement.costOf(left) - placement.costOf(right),
    );
    assert.equal(reservation?.endpoint.id, cheapest);
    const known = this.known.get(cheapest ?? '');
    if (reservation === undefined || known === undefined) return;
    known.running += 1;
    known.sentSinceReport += 1;
    this.sent.push({ known, reservation });
    this.reply(known, reservation, reply, running);
  }

  private reply(
    known: Known,
    reservation: PoolReservation,
    reply: Reply,
    running: number,
  ): void {
    if (reply === Reply.Load) {
      known.load = { running, waiting: 0, slots: SLOTS };
      known.reportedAtMs = this.nowMs;
      known.sentSinceReport = 0;
      reservation.recordLoad(known.load, this.nowMs);
    } else if (reply === Reply.Pause) {
      known.pausedUntilMs = this.nowMs + 1_400;
      reservation.recordPause(1_400);
    } else if (reply === Reply.Leaving) {
      known.isLeaving = true;
      reservation.recordLeaving();
    }
  }

  private endOldest(): void {
    const [oldest] = this.sent.splice(0, 1);
    if (oldest === undefined) return;
    oldest.known.running -= 1;
    oldest.reservation.release(undefined, this.nowMs);
  }

  private usableIn(group: string): readonly Known[] {
    return [...this.known.values()].filter(
      ({ isLeaving, record }) =>
        record.group === group &&
        !isLeaving &&
        !this.evacuated.has(record.dataCentre),
    );
  }

  private isReported({ load, reportedAtMs }: Known): boolean {
    return load !== undefined && this.nowMs - reportedAtMs < REPORT_TTL_MS;
  }

  private runningAt(known: Known): number {
    if (known.load === undefined || !this.isReported(known))
      return known.running;
    return Math.max(known.running, known.load.running + known.sentSinceReport);
  }

  private roomOf(group: string): GroupRoom {
    const usable = this.usableIn(group);
    const open = usable.filter(each => this.nowMs >= each.pausedUntilMs);
    const reported = open.filter(each => this.isReported(each));
    const free = reported.filter(
      ({ load, sentSinceReport }) =>
        (load?.running ?? 0) + sentSinceReport < SLOTS,
    );
    return {
      freeSlots: free.length,
      totalSlots: usable.length * SLOTS,
      openSlots: open.length * SLOTS,
      isKnown: reported.length > 0,
    };
  }
}

function plainly(record: EndpointRecord): Known {
  return {
    record,
    running: 0,
    sentSinceReport: 0,
    reportedAtMs: 0,
    pausedUntilMs: 0,
    isLeaving: false,
  };
}

/** Returns the first endpoints by rendezvous hashing. */
function preferredFor(part: number, ids: readonly string[]): readonly string[] {
  const weightOf = (id: string) => hash32(`shared ${part} ${id}`);
  return [...ids]
    .sort((left, right) => weightOf(right) - weightOf(left))
    .slice(0, MAX_PREFERRED);
}

describe('EndpointPool over random listings, loads, pauses and evacuations', () => {
  it('compares, prefers, chooses and counts the same endpoints as a search of all of them', () => {
    fc.assert(
      fc.property(fc.array(step, { minLength: 60, maxLength: 120 }), steps => {
        const comparison = new Comparison();
        for (const each of steps) comparison.run(each);
      }),
      { seed: 1, numRuns: 40 },
    );
  });
});
