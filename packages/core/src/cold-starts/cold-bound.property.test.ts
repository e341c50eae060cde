import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { SimulatedDaemon } from '../fakes/index.js';
import {
  busiestWindow,
  Disturbance,
  SharingSimulation,
  SIMULATION_STEP_MS,
  warmEndpoint,
} from '../fakes/index.js';
import type { ColdDispatch } from '../forwarding/index.js';
import type { KnownDaemons } from '../membership/index.js';
import { noopLog, noopMetrics, SeededRandom } from '../ports/index.js';
import type { ColdEndpointHint } from './cold-start-hints.js';
import { ColdStarts } from './cold-starts.js';

const SEED = 20_261_206;
const END_MS = 40_000;
const STARTED_AT_MS = 5_000;
const COLD_MS = 10_000;
const LIST_INTERVAL_MS = 800;
const REGISTRY_INTERVAL_MS = 5_000;
const STEP_INTERVAL_MS = 500;
const MAX_TRANSIT_MS = 100;
/** Longest time from the choice of the endpoint until its connection is established. */
const MAX_CONNECT_MS = 400;
const WINDOW_MS = 1_000;
const RETRIES = 2;

/** What happens to the endpoint and to the store. */
enum Event {
  /** The endpoint becomes cold again under its id, which lists show later. */
  ColdAgain = 'coldAgain',
  StoreDown = 'storeDown',
  StoreUp = 'storeUp',
}

type Daemon = SimulatedDaemon<ColdStarts>;

interface PendingWrite {
  readonly atMs: number;
  readonly daemon: Daemon;
  /** Another one than the daemon's after it has started again. */
  readonly guard: ColdStarts;
  readonly dispatch: ColdDispatch;
}

interface Bound {
  readonly perSecond: number;
  readonly overage: number;
  readonly slack: number;
}

/** Daemons that all send to one endpoint as much as they may, first attempts, retries and requests of peers alike. */
class ColdSimulation extends SharingSimulation<ColdEndpointHint[], ColdStarts> {
  /** Times of arrival at the cold endpoint, from daemons that know that it is cold. */
  readonly arrivalsAtMs: number[] = [];
  private readonly endpoint = warmEndpoint('cold', { bornAtMs: STARTED_AT_MS });
  private coldSinceMs = STARTED_AT_MS;
  private isStoreUp = true;
  private writes: PendingWrite[] = [];

  constructor(
    count: number,
    private readonly bound: Bound,
  ) {
    super(new SeededRandom(SEED));
    for (let added = 0; added < count; added += 1) this.join();
  }

  occur(event: Event): void {
    const isWarm = this.nowMs > this.coldSinceMs + COLD_MS;
    if (event !== Event.ColdAgain) this.isStoreUp = event === Event.StoreUp;
    else if (isWarm) this.coldSinceMs = this.nowMs + 1; // after the lists of this step
  }

  override step(): void {
    super.step();
    const isDue = ({ atMs, daemon }: PendingWrite) =>
      atMs <= this.nowMs && !this.membership.isPaused(daemon.id);
    const due = this.writes.filter(isDue);
    this.writes = this.writes.filter(each => !isDue(each));
    for (const { daemon, dispatch, guard } of due) {
      const isRunning = guard === daemon.guard;
      if (isRunning && dispatch.mayWrite()) this.recordArrival(daemon);
      dispatch.end();
    }
  }

  protected override act(daemon: Daemon, index: number): void {
    if (this.isDue(STEP_INTERVAL_MS, index)) void daemon.guard.step();
    if (this.isStoreUp && this.isDue(LIST_INTERVAL_MS, index))
      this.list(daemon);
    if (this.isStoreUp && this.isDue(REGISTRY_INTERVAL_MS, index))
      daemon.known.recordListed(this.membership.ids());
    for (let attempt = 0; attempt <= RETRIES; attempt += 1)
      this.request(daemon);
  }

  protected override createGuard(
    ownId: string,
    daemons: KnownDaemons,
  ): ColdStarts {
    const nowMs = () => this.nowMs;
    const { overage, perSecond, slack } = this.bound;
    const coldStart = { durationMs: COLD_MS, requestsPerSecond: perSecond };
    return new ColdStarts({
      ownId,
      nowMs,
      timeMs: nowMs,
      daemons,
      bound: { overage, slack },
      coldStartOf: () => coldStart,
      listConfirmedAtMs: () => -Infinity,
      log: noopLog,
      metrics: noopMetrics,
    });
  }

  private list(daemon: Daemon): void {
    const coldForMs = this.coldSinceMs + COLD_MS - this.nowMs;
    const coldRemainingMs = Math.max(0, coldForMs);
    const isStarted = this.nowMs >= STARTED_AT_MS;
    const listed = isStarted ? [{ ...this.endpoint, coldRemainingMs }] : [];
    daemon.guard.applyListing(listed, this.nowMs);
    if (isStarted) daemon.toldAtMs = this.nowMs;
  }

  private request(daemon: Daemon): void {
    const { guard, toldAtMs } = daemon;
    if (toldAtMs === Infinity || guard.waitMs(this.endpoint) > 0) return;
    const dispatch = guard.recordDispatch(this.endpoint);
    const isConnected = this.random.nextFloat() < 0.5;
    const connectMs = isConnected ? 0 : this.random.nextInteger(MAX_CONNECT_MS);
    const atMs = this.nowMs + connectMs;
    this.writes.push({ atMs, daemon, guard, dispatch });
  }

  private recordArrival({ toldAtMs }: Daemon): void {
    const atMs = this.nowMs + this.random.nextFloat() * MAX_TRANSIT_MS;
    const isCold = atMs < this.coldSinceMs + COLD_MS;
    if (isCold && toldAtMs >= this.coldSinceMs) this.arrivalsAtMs.push(atMs);
  }
}

function isEvent(kind: Disturbance | Event): kind is Event {
  return (Object.values(Event) as string[]).includes(kind);
}

describe('requests to a cold endpoint', () => {
  const disturbance = fc.record({
    atMs: fc.integer({ min: 0, max: END_MS }),
    kind: fc.constantFrom(...Object.values({ ...Disturbance, ...Event })),
    daemon: fc.nat(77),
  });
  const bounds: readonly Bound[] = [
    { perSecond: 9.1, overage: 1.5, slack: 5 }, // the present deployment
    { perSecond: 9.1, overage: 1, slack: 0 },
    { perSecond: 1, overage: 1, slack: 0 },
    { perSecond: 1, overage: 1, slack: 30 },
    { perSecond: 0.5, overage: 1.5, slack: 0 },
  ];

  it('stay below the bound in any second, whichever daemons join, restart, pause or are cut off', () => {
    fc.assert(
      fc.property(
        fc.constantFrom(1, 9, 78),
        fc.constantFrom(...bounds),
        fc.array(disturbance, { maxLength: 24 }),
        (count, bound, disturbances) => {
          const simulation = new ColdSimulation(count, bound);
          while (simulation.nowMs < END_MS) {
            const { nowMs } = simulation;
            for (const { atMs, daemon, kind } of disturbances) {
              if (atMs <= nowMs - SIMULATION_STEP_MS || atMs > nowMs) continue;
              if (isEvent(kind)) simulation.occur(kind);
              else simulation.disturb(kind, daemon);
            }
            simulation.step();
          }
          const { overage, perSecond, slack } = bound;
          const most = busiestWindow(simulation.arrivalsAtMs, WINDOW_MS);
          assert.ok(most <= perSecond * overage + slack);
        },
      ),
      { seed: SEED, numRuns: 60 },
    );
  });

  it('do not starve the endpoint', () => {
    const simulation = new ColdSimulation(78, {
      perSecond: 9.1,
      overage: 1.5,
      slack: 5,
    });
    while (simulation.nowMs < STARTED_AT_MS + COLD_MS) simulation.step();
    const perSecond = simulation.arrivalsAtMs.length / (COLD_MS / 1_000);
    assert.ok(perSecond >= 9.1 / 2); // not starved: half of what it tolerates
  });
});
