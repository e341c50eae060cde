import type { EndpointLoad } from '../../forwarding/index.js';
import {
  AttemptVerdict,
  EndpointPool,
  LeavingEndpoints,
  PausedEndpoints,
  UNLIMITED,
} from '../../forwarding/index.js';
import { KnownDaemons } from '../../membership/index.js';
import { noopLog, noopMetrics, SeededRandom } from '../../ports/index.js';
import { BrittleEndpoints } from '../index.js';
import { SimulatedEnd, SimulatedEndpoint } from './simulated-endpoint.js';

const STEP_MS = 5;
const EXCHANGE_INTERVAL_MS = 500;
const EXCHANGE_FAN_OUT = 4;
const MAX_TRANSIT_MS = 400;
/** Age at which a peer's load no longer counts. */
const LOAD_TTL_MS = 3_000;
const JOIN_NOTICED_MS = 1_000;
const CONTACT_MS = 3_000;
const LOSS_NOTICED_MS = 3_000;
/** Time until daemons know that an endpoint is back or gone. */
const LISTING_MS = 500;
const MAX_HOP_MS = 10;
/** Time after which a rejected caller returns if it is not told when. */
const RETRY_MS = 300;
const MAX_CALLS = 3;

export interface BrittleSimulationOptions {
  readonly daemons: number;
  readonly endpoints: number;
  readonly slots: number;
  readonly waitingPlaces: number;
  readonly serviceMs: number;
  readonly seed: number;
  /** Whether endpoints report their load. */
  readonly hasLoadReports: boolean;
}

interface SimulatedDaemon {
  readonly id: string;
  /** Part of the requests that the balancer gives it, relative to others. */
  readonly weight: number;
  pool: EndpointPool;
  brittle: BrittleEndpoints;
  readonly peerLoads: Map<string, PeerLoadNews>;
  isUp: boolean;
  changedAtMs: number;
  listedBorns: string;
  revision: number;
}

interface PeerLoadNews {
  readonly load: ReadonlyMap<string, EndpointLoad>;
  readonly sentAtMs: number;
}

interface Delivery {
  readonly atMs: number;
  readonly deliver: () => void;
}

/** Daemons with pools of their own, which exchange hints and send requests of callers to brittle endpoints. */
export class BrittleSimulation {
  nowMs = 0;
  served = 0;
  /** Requests that daemons rejected because no endpoint had room for them. */
  rejected = 0;
  readonly endpoints: SimulatedEndpoint[];
  readonly daemons: SimulatedDaemon[] = [];
  private readonly random: SeededRandom;
  private due = 0;
  private deliveries = new Map<number, Delivery[]>();

  constructor(private readonly options: BrittleSimulationOptions) {
    this.random = new SeededRandom(options.seed);
    this.endpoints = Array.from(
      { length: options.endpoints },
      (_, index) =>
        new SimulatedEndpoint({
          ...options,
          id: `e${index}`,
          group: 'ledger',
          backAfterMs: 3_000,
        }),
    );
    for (let count = 0; count < options.daemons; count += 1) this.join();
  }

  /** Requests per second that the endpoints can serve together. */
  get capacityPerSecond(): number {
    const { endpoints, serviceMs, slots } = this.options;
    return (endpoints * slots * 1_000) / serviceMs;
  }

  /** Number of times that endpoints fell over because of daemons in touch. */
  get falls(): number {
    return this.endpoints.reduce((sum, { falls }) => sum + falls, 0);
  }

  /** Makes all endpoints say that they are brittle, and fall over from `fragileFromMs`. */
  makeBrittle(maxRejectionsPerSecond: number, fragileFromMs: number): void {
    for (const endpoint of this.endpoints) {
      endpoint.maxRejectionsPerSecond = maxRejectionsPerSecond;
      endpoint.fragileFromMs = fragileFromMs;
    }
  }

  join(): void {
    const daemon: SimulatedDaemon = {
      id: `d${this.daemons.length}`,
      weight: 0.5 + this.random.nextFloat(),
      peerLoads: new Map(),
      isUp: true,
      changedAtMs: this.nowMs,
      listedBorns: '',
      revision: 0,
      ...this.createState(`d${this.daemons.length}`),
    };
    this.daemons.push(daemon);
  }

  /** Ends a share of the daemons, without their requests. */
  killShare(share: number): void {
    const count = Math.floor(this.daemons.length * share);
    for (const daemon of this.daemons.slice(0, count)) {
      daemon.isUp = false;
      daemon.changedAtMs = this.nowMs;
    }
  }

  restartKilled(): void {
    for (const daemon of this.daemons) {
      if (daemon.isUp) continue;
      Object.assign(daemon, this.createState(daemon.id));
      daemon.peerLoads.clear();
      daemon.listedBorns = '';
      daemon.isUp = true;
      daemon.changedAtMs = this.nowMs;
    }
  }

  silence(index: number, durationMs: number): void {
    const endpoint = this.endpoints[index % this.endpoints.length];
    if (endpoint !== undefined)
      endpoint.silentUntilMs = this.nowMs + durationMs;
  }

  /** Runs until `endMs` with `demand` times the requests that the endpoints can serve. */
  runUntil(endMs: number, demand: number): void {
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      const arrived = this.deliveries.get(this.nowMs) ?? [];
      this.deliveries.delete(this.nowMs);
      for (const { deliver } of arrived) deliver();
      for (const endpoint of this.endpoints) endpoint.step(this.nowMs);
      this.daemons.forEach((daemon, index) => {
        if (!daemon.isUp) return;
        this.updateListing(daemon);
        const phase = (index * STEP_MS) % EXCHANGE_INTERVAL_MS;
        if (this.nowMs % EXCHANGE_INTERVAL_MS === phase) this.exchange(daemon);
      });
      this.due += (demand * this.capacityPerSecond * STEP_MS) / 1_000;
      for (; this.due >= 1; this.due -= 1) this.call(1);
    }
  }

  private call(calls: number): void {
    const daemon = this.pickDaemon();
    if (daemon === undefined) return;
    const { pool } = daemon;
    const reservation = pool.reserve(
      {
        group: 'ledger',
        excluded: new Set(),
        promptParts: [],
        promptTokens: 0,
      },
      this.nowMs,
    );
    if (reservation === undefined) {
      const waitMs = pool.busyForMs('ledger', this.nowMs) ?? RETRY_MS;
      this.rejected += 1;
      this.callAgain(calls, waitMs);
      return;
    }
    const endpoint = this.endpoints.find(
      each => each.record().id === reservation.endpoint.id,
    );
    const end = (how: SimulatedEnd) => {
      const statements = {
        limitPerSecond: undefined,
        maxRejectionsPerSecond: endpoint?.maxRejectionsPerSecond,
      };
      const load = endpoint?.load;
      this.after(this.hopMs(), () => {
        if (how === SimulatedEnd.Lost) {
          reservation.release(AttemptVerdict.Failed, this.nowMs);
          return;
        }
        if (load !== undefined && this.options.hasLoadReports)
          reservation.recordLoad(load, this.nowMs);
        const isRejection = how === SimulatedEnd.Rejected;
        reservation.recordStatements(statements, isRejection);
        if (!isRejection) reservation.recordFirstEvent(this.nowMs);
        const verdict = isRejection
          ? AttemptVerdict.Failed
          : AttemptVerdict.Succeeded;
        reservation.release(verdict, this.nowMs);
        if (isRejection) this.callAgain(calls, RETRY_MS);
        else this.served += 1;
      });
    };
    const serviceMs = this.options.serviceMs * (0.5 + this.random.nextFloat());
    this.after(this.hopMs(), () => {
      const isInTouch = this.nowMs - daemon.changedAtMs >= CONTACT_MS;
      endpoint?.receive({ serviceMs, end, isInTouch }, this.nowMs);
    });
  }

  private callAgain(calls: number, waitMs: number): void {
    if (calls >= MAX_CALLS) return;
    this.after(waitMs, () => {
      this.call(calls + 1);
    });
  }

  private pickDaemon(): SimulatedDaemon | undefined {
    const up = this.daemons.filter(each => each.isUp);
    let weight =
      this.random.nextFloat() * up.reduce((sum, each) => sum + each.weight, 0);
    return up.find(each => (weight -= each.weight) < 0);
  }

  private updateListing(daemon: SimulatedDaemon): void {
    const seenMs = this.nowMs - LISTING_MS;
    const listed = this.endpoints.filter(each => each.isUp(seenMs));
    const borns = listed.map(({ bornAtMs }) => bornAtMs).join();
    if (borns === daemon.listedBorns) return;
    daemon.listedBorns = borns;
    daemon.revision += 1;
    daemon.pool.apply({
      revision: daemon.revision,
      endpoints: listed.map(each => each.record()),
    });
  }

  private exchange(daemon: SimulatedDaemon): void {
    for (let sent = 0; sent < EXCHANGE_FAN_OUT; sent += 1) {
      const peer = this.daemons[this.random.nextInteger(this.daemons.length)];
      if (peer === undefined || peer === daemon || !peer.isUp) continue;
      this.sendHints(daemon, peer);
      this.sendHints(peer, daemon);
    }
  }

  private sendHints(from: SimulatedDaemon, to: SimulatedDaemon): void {
    const hints = from.brittle.hints();
    const news = { load: from.pool.ownLoad(), sentAtMs: this.nowMs };
    this.after(this.random.nextFloat() * MAX_TRANSIT_MS, () => {
      to.brittle.applyPeer(hints);
      const known = to.peerLoads.get(from.id);
      if (known !== undefined && known.sentAtMs > news.sentAtMs) return;
      to.peerLoads.set(from.id, news);
      to.pool.applyPeerLoad(this.sumLoads(to));
    });
  }

  private sumLoads({ peerLoads }: SimulatedDaemon): Map<string, EndpointLoad> {
    const sums = new Map<string, EndpointLoad>();
    for (const { load, sentAtMs } of peerLoads.values()) {
      if (this.nowMs - sentAtMs >= LOAD_TTL_MS) continue;
      for (const [id, { running }] of load) {
        const sum = sums.get(id)?.running ?? 0;
        sums.set(id, { running: sum + running, backlogTokens: 0 });
      }
    }
    return sums;
  }

  private createState(
    ownId: string,
  ): Pick<SimulatedDaemon, 'pool' | 'brittle'> {
    const nowMs = () => this.nowMs;
    const daemons = new KnownDaemons({
      ownId,
      nowMs,
      livePeers: () => this.livePeersOf(ownId),
    });
    daemons.recordListed([ownId, ...this.daemons.map(each => each.id)]);
    const brittle = new BrittleEndpoints({
      ownId,
      nowMs,
      daemons,
      log: noopLog,
      metrics: noopMetrics,
    });
    const pool = new EndpointPool(
      new SeededRandom(this.options.seed + this.random.nextInteger(10_000)),
      {
        dataCentre: 'north-1',
        prefillTokensPerMs: 90,
        timeMs: () => 0,
        engineMemoryTokens: () => undefined,
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
        overloadGuard: brittle,
      },
    );
    return { pool, brittle };
  }

  private livePeersOf(ownId: string) {
    return this.daemons
      .filter(({ changedAtMs, id, isUp }) => {
        const sinceMs = this.nowMs - changedAtMs;
        if (id === ownId) return false;
        return isUp ? sinceMs >= JOIN_NOTICED_MS : sinceMs < LOSS_NOTICED_MS;
      })
      .map(({ id }) => ({
        id,
        dataCentre: 'north-1',
        peerAddress: id,
        callerUrl: '',
      }));
  }

  private hopMs(): number {
    return this.random.nextFloat() * MAX_HOP_MS;
  }

  private after(delayMs: number, deliver: () => void): void {
    const steps = Math.max(1, Math.round(delayMs / STEP_MS));
    const atMs = this.nowMs + steps * STEP_MS;
    const planned = this.deliveries.get(atMs) ?? [];
    planned.push({ atMs, deliver });
    this.deliveries.set(atMs, planned);
  }
}
