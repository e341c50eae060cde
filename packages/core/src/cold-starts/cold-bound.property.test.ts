import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { sampleEndpoint } from '../forwarding/fakes/index.js';
import type { ColdDispatch } from '../forwarding/index.js';
import { KnownDaemons } from '../membership/index.js';
import { noopLog, noopMetrics, SeededRandom } from '../ports/index.js';
import { ColdStarts } from './cold-starts.js';

const SEED = 20_261_206;
const STEP_MS = 50;
const END_MS = 40_000;
const STARTED_AT_MS = 5_000;
const COLD_MS = 10_000;
/** Times until the membership protocol notices that a peer came or went. */
const JOIN_NOTICED_MS = 1_000;
const LOSS_NOTICED_MS = 3_000;
const LIST_INTERVAL_MS = 800;
const REGISTRY_INTERVAL_MS = 5_000;
const EXCHANGE_INTERVAL_MS = 500;
const EXCHANGE_FAN_OUT = 4;
const MAX_TRANSIT_MS = 100;
/** Longest time from the choice of the endpoint until its connection is established. */
const MAX_CONNECT_MS = 400;
const WINDOW_MS = 1_000;
const RETRIES = 2;

enum Disturbance {
  Join = 'join',
  Restart = 'restart',
  CutOff = 'cutOff',
  Heal = 'heal',
  Pause = 'pause',
  Resume = 'resume',
  /** The endpoint becomes cold again under its id, which lists show later. */
  ColdAgain = 'coldAgain',
  StoreDown = 'storeDown',
  StoreUp = 'storeUp',
}

interface SimulatedDaemon {
  readonly id: string;
  guard: ColdStarts;
  daemons: KnownDaemons;
  isCutOff: boolean;
  changedAtMs: number;
  pausedAtMs: number;
  /** Infinity while it is paused. */
  resumedAtMs: number;
  /** Start of the latest cold time of the endpoint that it knows. */
  toldOfMs: number;
}

interface PendingWrite {
  readonly atMs: number;
  readonly daemon: SimulatedDaemon;
  readonly dispatch: ColdDispatch;
}

interface Bound {
  readonly perSecond: number;
  readonly overage: number;
  readonly slack: number;
}

/** Daemons that all send to one endpoint as much as they may, first attempts, retries and requests of peers alike. */
class ColdSimulation {
  nowMs = 0;
  /** Times of arrival at the cold endpoint, from daemons that know that it is cold. */
  readonly arrivalsAtMs: number[] = [];
  private readonly daemons: SimulatedDaemon[] = [];
  private readonly random = new SeededRandom(SEED);
  private readonly endpoint = sampleEndpoint('cold', {
    bornAtMs: STARTED_AT_MS,
  });
  private coldSinceMs = STARTED_AT_MS;
  private isStoreUp = true;
  private writes: PendingWrite[] = [];

  constructor(
    count: number,
    private readonly bound: Bound,
  ) {
    for (let added = 0; added < count; added += 1) this.join();
  }

  disturb(kind: Disturbance, index: number): void {
    const daemon = this.daemons[index % this.daemons.length];
    assert.ok(daemon);
    switch (kind) {
      case Disturbance.Join:
        this.join();
        return;
      case Disturbance.Restart:
        Object.assign(daemon, this.started(daemon.id));
        break;
      case Disturbance.CutOff:
      case Disturbance.Heal:
        daemon.isCutOff = kind === Disturbance.CutOff;
        daemon.changedAtMs = this.nowMs;
        break;
      case Disturbance.Pause:
        if (daemon.resumedAtMs === Infinity) break;
        daemon.pausedAtMs = this.nowMs;
        daemon.resumedAtMs = Infinity;
        break;
      case Disturbance.Resume:
        daemon.resumedAtMs = Math.min(daemon.resumedAtMs, this.nowMs);
        break;
      case Disturbance.ColdAgain:
        if (this.nowMs > this.coldSinceMs + COLD_MS)
          this.coldSinceMs = this.nowMs;
        break;
      case Disturbance.StoreDown:
      case Disturbance.StoreUp:
        this.isStoreUp = kind === Disturbance.StoreUp;
    }
  }

  step(): void {
    this.nowMs += STEP_MS;
    const running = this.daemons.filter(each => each.resumedAtMs < Infinity);
    running.forEach((daemon, index) => {
      const isDue = (intervalMs: number) =>
        (this.nowMs + index * STEP_MS) % intervalMs < STEP_MS;
      if (isDue(EXCHANGE_INTERVAL_MS)) {
        void daemon.guard.step();
        this.exchange(daemon, running);
      }
      if (this.isStoreUp && isDue(LIST_INTERVAL_MS)) this.list(daemon);
      if (this.isStoreUp && isDue(REGISTRY_INTERVAL_MS))
        daemon.daemons.recordListed(this.daemons.map(({ id }) => id));
      for (let attempt = 0; attempt <= RETRIES; attempt += 1) this.send(daemon);
    });
    this.write();
  }

  /** Returns the most requests that arrived in any one second. */
  busiestSecond(): number {
    const sorted = this.arrivalsAtMs.toSorted((left, right) => left - right);
    let first = 0;
    let most = 0;
    sorted.forEach((atMs, last) => {
      while ((sorted[first] ?? 0) <= atMs - WINDOW_MS) first += 1;
      most = Math.max(most, last - first + 1);
    });
    return most;
  }

  private join(): void {
    this.daemons.push(this.started(`d${this.daemons.length}`));
  }

  private send(daemon: SimulatedDaemon): void {
    const isListed = this.nowMs - daemon.changedAtMs > LIST_INTERVAL_MS;
    if (this.nowMs < STARTED_AT_MS || daemon.toldOfMs === 0 || !isListed)
      return;
    if (daemon.guard.waitMs(this.endpoint) > 0) return;
    const dispatch = daemon.guard.recordDispatch(this.endpoint);
    const isConnected = this.random.nextFloat() < 0.5;
    const connectMs = isConnected ? 0 : this.random.nextInteger(MAX_CONNECT_MS);
    this.writes.push({ atMs: this.nowMs + connectMs, daemon, dispatch });
  }

  private write(): void {
    const isDue = ({ atMs, daemon }: PendingWrite) =>
      atMs <= this.nowMs && daemon.resumedAtMs < Infinity;
    const due = this.writes.filter(isDue);
    this.writes = this.writes.filter(each => !isDue(each));
    for (const { daemon, dispatch } of due) {
      const isWritten = dispatch.mayWrite();
      dispatch.end();
      if (!isWritten) continue;
      const atMs = this.nowMs + this.random.nextFloat() * MAX_TRANSIT_MS;
      const isCold = atMs < this.coldSinceMs + COLD_MS;
      const isTold = daemon.toldOfMs === this.coldSinceMs;
      if (isCold && isTold) this.arrivalsAtMs.push(atMs);
    }
  }

  private list({ guard, ...daemon }: SimulatedDaemon): void {
    if (this.nowMs < STARTED_AT_MS) {
      guard.applyListing([], this.nowMs);
      return;
    }
    const coldRemainingMs = Math.max(
      0,
      this.coldSinceMs + COLD_MS - this.nowMs,
    );
    const endpoint = { ...this.endpoint, coldRemainingMs };
    guard.applyListing([endpoint], this.nowMs);
    this.tell(daemon.id, this.coldSinceMs);
  }

  private tell(id: string, coldSinceMs: number): void {
    const daemon = this.daemons.find(each => each.id === id);
    if (daemon !== undefined)
      daemon.toldOfMs = Math.max(daemon.toldOfMs, coldSinceMs);
  }

  private exchange(
    daemon: SimulatedDaemon,
    running: readonly SimulatedDaemon[],
  ): void {
    for (let sent = 0; sent < EXCHANGE_FAN_OUT; sent += 1) {
      const peer = running[this.random.nextInteger(running.length)];
      if (peer === undefined || peer.isCutOff || daemon.isCutOff) continue;
      peer.guard.applyPeer(daemon.guard.hints());
    }
  }

  private started(id: string): SimulatedDaemon {
    const nowMs = () => this.nowMs;
    const daemons = new KnownDaemons({
      ownId: id,
      nowMs,
      livePeers: () => this.livePeersOf(id),
    });
    if (this.isStoreUp) daemons.recordListed(this.daemons.map(each => each.id));
    const { overage, perSecond, slack } = this.bound;
    const coldStart = { durationMs: COLD_MS, requestsPerSecond: perSecond };
    const guard = new ColdStarts({
      ownId: id,
      nowMs,
      timeMs: nowMs,
      daemons,
      bound: { overage, slack },
      coldStartOf: () => coldStart,
      listConfirmedAtMs: () => -Infinity,
      log: noopLog,
      metrics: noopMetrics,
    });
    return {
      id,
      guard,
      daemons,
      isCutOff: false,
      changedAtMs: this.nowMs,
      pausedAtMs: -Infinity,
      resumedAtMs: -Infinity,
      toldOfMs: 0,
    };
  }

  /** A daemon that was paused notices late who came meanwhile. */
  private livePeersOf(ownId: string) {
    const own = this.daemons.find(each => each.id === ownId);
    const isLive = (peer: SimulatedDaemon) => {
      if (peer.resumedAtMs === Infinity)
        return this.nowMs - peer.pausedAtMs < LOSS_NOTICED_MS;
      const cameMeanwhile = peer.changedAtMs > (own?.pausedAtMs ?? Infinity);
      const changedAtMs = cameMeanwhile
        ? Math.max(peer.changedAtMs, own?.resumedAtMs ?? 0)
        : peer.changedAtMs;
      const sinceMs = this.nowMs - changedAtMs;
      return peer.isCutOff
        ? sinceMs < LOSS_NOTICED_MS
        : sinceMs >= JOIN_NOTICED_MS;
    };
    if (own === undefined || !isLive(own)) return [];
    return this.daemons
      .filter(each => each !== own && isLive(each))
      .map(({ id }) => ({
        id,
        dataCentre: 'north-1',
        peerAddress: '',
        callerUrl: '',
      }));
  }
}

describe('requests to a cold endpoint', () => {
  const disturbance = fc.record({
    atMs: fc.integer({ min: 0, max: END_MS }),
    kind: fc.constantFrom(...Object.values(Disturbance)),
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
            for (const { atMs, daemon, kind } of disturbances)
              if (atMs > nowMs - STEP_MS && atMs <= nowMs)
                simulation.disturb(kind, daemon);
            simulation.step();
          }
          const { overage, perSecond, slack } = bound;
          assert.ok(simulation.busiestSecond() <= perSecond * overage + slack);
        },
      ),
      { seed: SEED, numRuns: 60 },
    );
  });

  it('use a good part of what the endpoint tolerates', () => {
    const simulation = new ColdSimulation(78, {
      perSecond: 9.1,
      overage: 1.5,
      slack: 5,
    });
    while (simulation.nowMs < STARTED_AT_MS + COLD_MS) simulation.step();
    const perSecond = simulation.arrivalsAtMs.length / (COLD_MS / 1_000);
    assert.ok(perSecond >= 9.1 / 2);
  });
});
