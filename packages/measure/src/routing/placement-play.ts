import type { PlacementPolicy } from '@skylarkreach/core/forwarding';
import {
  AttemptVerdict,
  EndpointPool,
  EndpointState,
  LeavingEndpoints,
  PausedEndpoints,
  UNGUARDED,
  UNLIMITED,
} from '@skylarkreach/core/forwarding';
import { PeerLoad } from '@skylarkreach/core/hints';
import { LoadReports } from '@skylarkreach/core/placement';
import type { Random } from '@skylarkreach/core/ports';
import { noopLog, noopMetrics, SeededRandom } from '@skylarkreach/core/ports';

import { EventLoop } from './event-loop.js';
import { PlacementEngine } from './placement-engine.js';
import type { PlacementCall, PlacementShape } from './placement-load.js';
import { createCalls, REFERENCE_DAEMONS } from './placement-load.js';
import { PlacementResults } from './placement-results.js';

export interface PlacementPlayOptions {
  readonly shape: PlacementShape;
  readonly daemons: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Returns the policy of one daemon; undefined for that of the pool. */
  readonly createPolicy: (
    random: Random,
    reports: LoadReports,
  ) => PlacementPolicy | undefined;
}

interface PlayedDaemon {
  readonly pool: EndpointPool;
  readonly peers: PeerLoad;
  readonly peersAtMs: Map<string, number>;
  readonly reports: LoadReports;
}

const GROUP = 'engines';
const EXCHANGE_INTERVAL_MS = 500;
const EXCHANGE_FAN_OUT = 4;
/** Age at which a peer's load no longer counts. */
const LOAD_TTL_MS = 3_000;
const HOP_MS = 1;
const MAX_ATTEMPTS = 3;
const WARM_UP_SHARE = 0.25;
/** Lengths of the spans with and without other work on a machine. */
const QUIET_MS = 900;
const NOISE_MS = 300;
const NOISE_SLOWDOWN = 2.5;
/** Prefill rate that the daemons assume. */
export const PREFILL_TOKENS_PER_MS = 90;

/** Plays a load on daemons with real pools and policies before simulated engines. */
export class PlacementPlay {
  readonly results: PlacementResults;
  private readonly loop = new EventLoop();
  private readonly random: Random;
  private readonly engines = new Map<string, PlacementEngine>();
  private readonly daemons: PlayedDaemon[];

  constructor(private readonly options: PlacementPlayOptions) {
    const { daemons, durationMs, seed, shape } = options;
    this.random = new SeededRandom(seed);
    this.results = new PlacementResults(durationMs * WARM_UP_SHARE);
    const engines = Math.max(
      2,
      Math.round((shape.engines * daemons) / REFERENCE_DAEMONS),
    );
    for (let index = 0; index < engines; index += 1) this.addEngine(index);
    this.daemons = Array.from({ length: daemons }, (_, index) =>
      this.createDaemon(index),
    );
  }

  async run(): Promise<PlacementResults> {
    const { daemons, durationMs, seed, shape } = this.options;
    for (const call of createCalls(shape, daemons, durationMs, seed)) {
      const daemon = this.daemons[this.random.nextInteger(daemons)];
      if (daemon === undefined) continue;
      this.loop.schedule(call.arrivesAtMs, () => {
        this.results.recordArrival(call);
        this.send(daemon, call, new Set());
      });
    }
    await this.loop.runUntil(durationMs);
    for (const engine of this.engines.values())
      this.results.addEngine(engine.rejections, engine.sharedTokensRead);
    return this.results;
  }

  private addEngine(index: number): void {
    const { isNoisy, maxSpeed, minSpeed, slots } = this.options.shape;
    const speed = minSpeed + this.random.nextFloat() * (maxSpeed - minSpeed);
    const engine = new PlacementEngine(this.loop, { slots, speed });
    this.engines.set(`engine-${index}`, engine);
    if (isNoisy) this.scheduleNoise(engine, false);
  }

  private scheduleNoise(engine: PlacementEngine, isBusy: boolean): void {
    engine.slowdown = isBusy ? NOISE_SLOWDOWN : 1;
    const meanMs = isBusy ? NOISE_MS : QUIET_MS;
    const untilMs =
      this.loop.nowMs() - Math.log(1 - this.random.nextFloat()) * meanMs;
    this.loop.schedule(untilMs, () => {
      this.scheduleNoise(engine, !isBusy);
    });
  }

  private createDaemon(index: number): PlayedDaemon {
    const random = new SeededRandom(this.options.seed * 1_000 + index);
    const nowMs = () => this.loop.nowMs();
    const reports = new LoadReports({ nowMs, clusterMs: nowMs });
    const telemetry = { log: noopLog, metrics: noopMetrics, nowMs };
    const placement = this.options.createPolicy(random, reports);
    const pool = new EndpointPool(random, {
      dataCentre: 'north-1',
      prefillTokensPerMs: PREFILL_TOKENS_PER_MS,
      timeMs: nowMs,
      engineMemoryTokens: () => undefined,
      limiter: UNLIMITED,
      overloadGuard: UNGUARDED,
      leaving: new LeavingEndpoints(telemetry),
      paused: new PausedEndpoints(telemetry),
      ...(placement && { placement }),
    });
    pool.apply({ revision: 1, endpoints: this.records() });
    const daemon = {
      pool,
      reports,
      peers: new PeerLoad(),
      peersAtMs: new Map<string, number>(),
    };
    this.scheduleExchange(
      daemon,
      String(index),
      this.random.nextFloat() * EXCHANGE_INTERVAL_MS,
    );
    return daemon;
  }

  private records() {
    return [...this.engines.keys()].map(id => ({
      id,
      address: `${id}:80`,
      group: GROUP,
      dataCentre: 'north-1',
      version: 'v1',
      slots: this.options.shape.slots,
      state: EndpointState.Ready,
      coldRemainingMs: 0,
      isReclaimable: false,
      leavesInMs: undefined,
      bornAtMs: 1,
    }));
  }

  private scheduleExchange(
    daemon: PlayedDaemon,
    id: string,
    atMs: number,
  ): void {
    this.loop.schedule(atMs, () => {
      const { length } = this.daemons;
      for (let sent = 0; sent < EXCHANGE_FAN_OUT; sent += 1) {
        const peerIndex = this.random.nextInteger(length);
        const peer = this.daemons[peerIndex];
        if (peer === undefined || peer === daemon) continue;
        this.tell(peer, daemon, id);
        this.tell(daemon, peer, String(peerIndex));
      }
      this.scheduleExchange(daemon, id, atMs + EXCHANGE_INTERVAL_MS);
    });
  }

  private tell(to: PlayedDaemon, from: PlayedDaemon, fromId: string): void {
    const nowMs = this.loop.nowMs();
    to.peers.replace(fromId, Object.fromEntries(from.pool.ownLoad()));
    to.peersAtMs.set(fromId, nowMs);
    for (const [id, atMs] of to.peersAtMs)
      if (nowMs - atMs >= LOAD_TTL_MS) to.peers.remove(id);
    to.pool.applyPeerLoad(to.peers.total);
    to.reports.applyPeer(from.reports.hints());
  }

  private send(
    daemon: PlayedDaemon,
    call: PlacementCall,
    excluded: ReadonlySet<string>,
  ): void {
    const { kind, ownId, sharedId } = call;
    const promptParts = [
      { id: sharedId, tokens: kind.sharedTokens },
      { id: ownId, tokens: kind.ownTokens },
    ];
    const promptTokens = kind.sharedTokens + kind.ownTokens;
    const query = { group: GROUP, excluded, promptParts, promptTokens };
    const reservation = daemon.pool.reserve(query, this.loop.nowMs());
    if (reservation === undefined || excluded.size >= MAX_ATTEMPTS) {
      reservation?.release(undefined, this.loop.nowMs());
      this.results.recordRefusal(call);
      return;
    }
    const { id } = reservation.endpoint;
    const engine = this.engines.get(id);
    if (engine === undefined) return;
    const later = (run: (nowMs: number) => void) => () => {
      this.loop.schedule(this.loop.nowMs() + HOP_MS, () => {
        run(this.loop.nowMs());
      });
    };
    this.loop.schedule(this.loop.nowMs() + HOP_MS, () => {
      const isTaken = engine.submit({
        parts: promptParts,
        events: call.events,
        onFirstEvent: later(nowMs => {
          reservation.recordLoad(engine.load(), nowMs);
          reservation.recordFirstEvent(nowMs);
          this.results.recordFirstEvent(call, nowMs);
        }),
        onEnd: later(nowMs => {
          reservation.recordEvents?.(call.events);
          reservation.release(AttemptVerdict.Succeeded, nowMs);
          this.results.recordEnd(call, nowMs);
        }),
      });
      if (isTaken) return;
      later(nowMs => {
        reservation.recordLoad(engine.load(), nowMs);
        reservation.release(undefined, nowMs);
        this.send(daemon, call, new Set([...excluded, id]));
      })();
    });
  }
}
