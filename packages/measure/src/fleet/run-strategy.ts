import {
  Fault,
  FaultyKeyValue,
  MemoryKeyValue,
} from '@skylarkreach/core/fakes';
import { ManualClock, SeededRandom } from '@skylarkreach/core/ports';

import type { LateOrderHandling } from './counting-order-engine.js';
import { CountingOrderEngine } from './counting-order-engine.js';
import type { FleetDeployment } from './deployments.js';
import { createPolicy } from './deployments.js';
import { FleetManagerProcesses } from './fleet-manager-processes.js';
import type { EndedInstance } from './simulated-platform.js';
import { SimulatedPlatform } from './simulated-platform.js';
import type { Strategy } from './strategies.js';
import { createStrategyPlanner } from './strategies.js';
import { FleetTrace } from './trace.js';

const DAY_MS = 86_400_000;
const START_MS = DAY_MS;
/** Time from the start of a run that cost, shortfall and lost requests leave out; other counts include it. */
const WARM_UP_MS = 30 * 60_000;
const REQUEST_DURATION_MS = 90_000;
const TOKENS_PER_SECOND_PER_REQUEST = 50;
const OUTAGES_PER_DAY = 2;
const OUTAGE_MS = 5 * 60_000;

export interface RunOptions {
  readonly deployment: FleetDeployment;
  readonly strategy: Strategy;
  readonly lateOrders: LateOrderHandling;
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

/** Simulates one strategy over the trace generated from the seed. */
export async function runStrategy(options: RunOptions): Promise<RunTotals> {
  const run = new StrategyRun(options);
  const endAtMs = START_MS + options.days * DAY_MS;
  for (let atMs = START_MS; atMs < endAtMs; atMs += options.tickMs) {
    await run.tick(atMs);
  }
  return run.totals();
}

class StrategyRun {
  private readonly clock = new ManualClock(START_MS);
  private readonly trace: FleetTrace;
  private readonly platform: SimulatedPlatform;
  private readonly engines: CountingOrderEngine;
  private readonly processes: FleetManagerProcesses;
  private warmUpCost = 0;
  private ticks = 0;
  private demandMetTicks = 0;
  private worstShortfall = 0;
  private lostRequests = 0;

  constructor(private readonly options: RunOptions) {
    const { clock } = this;
    const { days, deployment, seed, strategy } = options;
    const endAtMs = START_MS + days * DAY_MS;
    this.trace = new FleetTrace(deployment, START_MS, endAtMs, seed);
    this.engines = new CountingOrderEngine(clock, options.lateOrders);
    this.platform = new SimulatedPlatform(clock, this.trace, this.engines);
    const random = new SeededRandom(seed + 1);
    const store = new MemoryKeyValue(clock);
    this.processes = new FleetManagerProcesses({
      clock,
      random,
      trace: this.trace,
      platform: this.platform,
      engines: this.engines,
      keyValue: new FaultyKeyValue(store, clock, () =>
        storeFaultAt(clock.nowMs()),
      ),
      createPlanner: () =>
        createStrategyPlanner(strategy, createPolicy(deployment)),
    });
  }

  async tick(atMs: number): Promise<void> {
    const { tickMs } = this.options;
    await this.clock.advanceTo(atMs);
    const ended = this.platform.tick(tickMs);
    const leaving = this.processes.leavingInstanceIds();
    const servedTokensPerSecond = this.platform.servingTokensPerSecond(leaving);
    if (atMs === START_MS + WARM_UP_MS) this.warmUpCost = this.platform.cost;
    if (atMs >= START_MS + WARM_UP_MS)
      this.recordTick(ended, servedTokensPerSecond, atMs);
    this.processes.injectFaults(tickMs);
    this.processes.startRounds();
  }

  totals(): RunTotals {
    return {
      cost: this.platform.cost - this.warmUpCost,
      heldPercent: (100 * this.demandMetTicks) / this.ticks,
      worstShortfallPercent: 100 * this.worstShortfall,
      lostRequests: Math.ceil(this.lostRequests),
      doubleOrders: this.engines.doubleOrders,
      starts: this.platform.starts,
      waves: this.trace.waves.length,
      pauses: this.processes.pauses,
      kills: this.processes.kills,
      pausesAtChange: this.processes.pausesAtMutations,
    };
  }

  private recordTick(
    ended: readonly EndedInstance[],
    servedTokensPerSecond: number,
    atMs: number,
  ): void {
    const demandedTokensPerSecond = this.trace.demandAt(atMs);
    this.ticks += 1;
    if (servedTokensPerSecond >= demandedTokensPerSecond)
      this.demandMetTicks += 1;
    const shortfall = Math.max(
      0,
      demandedTokensPerSecond - servedTokensPerSecond,
    );
    this.worstShortfall = Math.max(
      this.worstShortfall,
      shortfall / demandedTokensPerSecond,
    );
    const unfinishedTokens = ended
      .map(instance => instance.tokensPerSecond * unfinishedShare(instance))
      .reduce((sum, tokens) => sum + tokens, 0);
    this.lostRequests +=
      Math.min(unfinishedTokens, shortfall) / TOKENS_PER_SECOND_PER_REQUEST;
  }
}

/** Returns the fraction of an instance's accepted work that is unfinished when the instance ends. */
function unfinishedShare(instance: EndedInstance): number {
  return Math.max(0, 1 - instance.drainedMs / REQUEST_DURATION_MS);
}

function storeFaultAt(nowMs: number): Fault {
  const periodMs = DAY_MS / OUTAGES_PER_DAY;
  const sinceOutageStartMs = (nowMs - START_MS - periodMs / 2) % periodMs;
  return sinceOutageStartMs >= 0 && sinceOutageStartMs < OUTAGE_MS
    ? Fault.Down
    : Fault.None;
}
