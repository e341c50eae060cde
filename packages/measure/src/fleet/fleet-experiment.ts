import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
} from '../experiment/index.js';
import { atLeast, atMost } from '../experiment/index.js';
import type { FleetDeployment } from './deployments.js';
import { DEPLOYMENTS } from './deployments.js';
import { LateOrders } from './order-log.js';
import type { RunTotals } from './run-strategy.js';
import { runStrategy } from './run-strategy.js';
import { Strategy } from './strategies.js';
import { MAX_MEAN_RATIO, MIN_MEAN_RATIO, WAVES_PER_DAY } from './trace.js';

const DEFAULT_DAYS = 1;
const FULL_DAYS = 7;
const TICK_MS = 10_000;

const MAX_COST_PERCENT = 45;
const MIN_HELD_PERCENT = 99.9;

interface Run {
  readonly deployment: FleetDeployment;
  readonly strategy: Strategy;
  readonly lateOrders: LateOrders;
  readonly totals: RunTotals;
}

/** Cost, load held and orders of the fleet, against simpler ways to run it. */
export const fleetExperiment: Experiment = {
  name: 'fleet',
  description: 'cost and load held through reclaim waves with refused starts',
  run: runFleet,
};

async function runFleet(options: ExperimentOptions): Promise<ExperimentReport> {
  const runs: Run[] = [];
  for (const deployment of DEPLOYMENTS) {
    for (const strategy of Object.values(Strategy)) {
      runs.push(
        await runOne(deployment, strategy, LateOrders.Dropped, options),
      );
    }
    runs.push(
      await runOne(deployment, Strategy.Spread, LateOrders.CarriedOut, options),
    );
  }
  return {
    targets: DEPLOYMENTS.flatMap(each => targetsOf(each, runs)),
    rows: [assumptions(), ...runs.map(run => rowOf(run, runs))],
  };
}

async function runOne(
  deployment: FleetDeployment,
  strategy: Strategy,
  lateOrders: LateOrders,
  options: ExperimentOptions,
): Promise<Run> {
  const totals = await runStrategy({
    deployment,
    strategy,
    lateOrders,
    days: options.full ? FULL_DAYS : DEFAULT_DAYS,
    tickMs: TICK_MS,
    seed: options.seed,
  });
  return { deployment, strategy, lateOrders, totals };
}

function targetsOf(
  { name }: FleetDeployment,
  runs: readonly Run[],
): ExperimentReport['targets'] {
  const own = find(runs, name, Strategy.Spread);
  const cost = costPercent(own, find(runs, name, Strategy.OnDemandSpread));
  const { doubleOrders, heldPercent, lostRequests } = own;
  return [
    atMost(
      `${name}: cost against all on demand that keeps the same promise`,
      cost,
      MAX_COST_PERCENT,
      '%',
    ),
    atLeast(
      `${name}: time with the demand held`,
      round(heldPercent),
      MIN_HELD_PERCENT,
      '%',
    ),
    atMost(`${name}: accepted work lost`, lostRequests, 0, 'requests'),
    atMost(`${name}: double orders`, doubleOrders, 0, 'orders'),
  ];
}

function rowOf(run: Run, runs: readonly Run[]): ReportRow {
  const { name } = run.deployment;
  const { totals } = run;
  const percentOf = (strategy: Strategy) =>
    costPercent(totals, find(runs, name, strategy));
  return {
    deployment: name,
    strategy: run.strategy,
    lateOrders: run.lateOrders,
    cost: round(totals.cost),
    percentOfOnDemand: percentOf(Strategy.OnDemandSpread),
    percentOfOnDemandNoSpare: percentOf(Strategy.OnDemandOnly),
    percentOfGreedy: percentOf(Strategy.Greedy),
    heldPercent: round(totals.heldPercent),
    worstShortfallPercent: round(totals.worstShortfallPercent),
    lostRequests: totals.lostRequests,
    doubleOrders: totals.doubleOrders,
    starts: totals.starts,
    pauses: totals.pauses,
    kills: totals.kills,
    pausesAtChange: totals.pausesAtChange,
  };
}

/** Inputs of the experiment that the costs depend on. */
function assumptions(): ReportRow {
  const ratios = `${MIN_MEAN_RATIO} to ${MAX_MEAN_RATIO}`;
  return {
    deployment: 'input',
    strategy: `mean reclaimable price ${ratios} of on demand, ${WAVES_PER_DAY} waves a day`,
  };
}

function find(
  runs: readonly Run[],
  deployment: string,
  strategy: Strategy,
): RunTotals {
  const run = runs.find(
    each =>
      each.deployment.name === deployment &&
      each.strategy === strategy &&
      each.lateOrders === LateOrders.Dropped,
  );
  if (run === undefined) {
    throw new RangeError(`Run ${strategy} for ${deployment} first.`);
  }
  return run.totals;
}

function costPercent(totals: RunTotals, baseline: RunTotals): number {
  return round((100 * totals.cost) / baseline.cost);
}

function round(value: number): number {
  return Math.floor(value * 100) / 100;
}
