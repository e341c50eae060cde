import {
  Fault,
  FaultyKeyValue,
  MemoryKeyValue,
} from '@skylarkreach/core/fakes';
import { ManualClock, SeededRandom } from '@skylarkreach/core/ports';

import type { FleetDeployment } from './deployments.js';
import { policyOf } from './deployments.js';
import type { LateOrders } from './order-log.js';
import { OrderLog } from './order-log.js';
import { Processes } from './processes.js';
import type { Strategy } from './strategies.js';
import { plannerOf } from './strategies.js';
import { FleetTrace } from './trace.js';
import type { LostMachine } from './world.js';
import { World } from './world.js';

const DAY_MS = 86_400_000;
const START_AT_MS = DAY_MS;
/** Time after the first start from which a run is counted. */
const SETTLE_MS = 30 * 60_000;
const WORK_MS = 90_000;
const TOKENS_PER_SECOND_OF_REQUEST = 50;
const OUTAGES_PER_DAY = 2;
const OUTAGE_MS = 5 * 60_000;

export interface RunOptions {
  readonly deployment: FleetDeployment;
  readonly strategy: Strategy;
  readonly lateOrders: LateOrders;
  readonly days: number;
  readonly tickMs: number;
  readonly seed: number;
}

/** Totals of one strategy over a trace. */
export interface RunTotals {
  readonly cost: number;
  readonly heldPercent: number;
  readonly worstShortfallPercent: number;
  readonly lostRequests: number;
  readonly doubleOrders: number;
  readonly starts: number;
  readonly waves: number;
  readonly pauses: number;
  readonly kills: number;
  readonly pausesAtChange: number;
}

/** Runs one strategy over the trace of a seed. */
export async function runStrategy(options: RunOptions): Promise<RunTotals> {
  const run = new StrategyRun(options);
  const endAtMs = START_AT_MS + options.days * DAY_MS;
  for (let atMs = START_AT_MS; atMs < endAtMs; atMs += options.tickMs) {
    await run.tick(atMs);
  }
  return run.totals();
}

class StrategyRun {
  private readonly clock = new ManualClock(START_AT_MS);
  private readonly trace: FleetTrace;
  private readonly world: World;
  private readonly orders: OrderLog;
  private readonly processes: Processes;
  private costBefore = 0;
  private ticks = 0;
  private heldTicks = 0;
  private worstShortfall = 0;
  private lostRequests = 0;

  constructor(private readonly options: RunOptions) {
    const { clock } = this;
    const { days, deployment, seed, strategy } = options;
    const endAtMs = START_AT_MS + days * DAY_MS;
    this.trace = new FleetTrace(deployment, START_AT_MS, endAtMs, seed);
    this.orders = new OrderLog(clock, options.lateOrders);
    this.world = new World(clock, this.trace, this.orders);
    const random = new SeededRandom(seed + 1);
    const store = new MemoryKeyValue(clock);
    this.processes = new Processes({
      clock,
      random,
      trace: this.trace,
      world: this.world,
      orders: this.orders,
      keyValue: new FaultyKeyValue(store, clock, () => outageAt(clock.nowMs())),
      createPlanner: () => plannerOf(strategy, policyOf(deployment)),
    });
  }

  async tick(atMs: number): Promise<void> {
    const { tickMs } = this.options;
    await this.clock.advanceTo(atMs);
    const lost = this.world.tick(tickMs);
    const leaving = this.processes.leavingInstanceIds();
    const serving = this.world.servingTokensPerSecond(leaving);
    if (atMs === START_AT_MS + SETTLE_MS) this.costBefore = this.world.cost;
    if (atMs >= START_AT_MS + SETTLE_MS) this.count(lost, serving, atMs);
    this.processes.disturb(tickMs);
    this.processes.step();
  }

  totals(): RunTotals {
    return {
      cost: this.world.cost - this.costBefore,
      heldPercent: (100 * this.heldTicks) / this.ticks,
      worstShortfallPercent: 100 * this.worstShortfall,
      lostRequests: Math.ceil(this.lostRequests),
      doubleOrders: this.orders.doubleOrders,
      starts: this.world.starts,
      waves: this.trace.waves.length,
      pauses: this.processes.pauses,
      kills: this.processes.kills,
      pausesAtChange: this.processes.pausesAtChange,
    };
  }

  private count(
    lost: readonly LostMachine[],
    serving: number,
    atMs: number,
  ): void {
    const demand = this.trace.demandAt(atMs);
    this.ticks += 1;
    if (serving >= demand) this.heldTicks += 1;
    const shortfall = Math.max(0, demand - serving);
    this.worstShortfall = Math.max(this.worstShortfall, shortfall / demand);
    const movedTokens = lost
      .map(machine => machine.tokensPerSecond * unfinishedShare(machine))
      .reduce((sum, tokens) => sum + tokens, 0);
    this.lostRequests +=
      Math.min(movedTokens, shortfall) / TOKENS_PER_SECOND_OF_REQUEST;
  }
}

/** Part of an instance's accepted work that has not ended when it goes. */
function unfinishedShare(machine: LostMachine): number {
  return Math.max(0, 1 - machine.drainedMs / WORK_MS);
}

function outageAt(nowMs: number): Fault {
  const periodMs = DAY_MS / OUTAGES_PER_DAY;
  const sinceMs = (nowMs - START_AT_MS - periodMs / 2) % periodMs;
  return sinceMs >= 0 && sinceMs < OUTAGE_MS ? Fault.Down : Fault.None;
}
