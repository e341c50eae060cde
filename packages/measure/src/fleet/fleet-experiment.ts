import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
} from '../experiment/index.js';
import { lowerBoundTarget, upperBoundTarget } from '../experiment/index.js';
import { LateOrderHandling } from './counting-order-engine.js';
import type { FleetDeployment } from './deployments.js';
import { DEPLOYMENTS } from './deployments.js';
import type { RunTotals } from './run-strategy.js';
import { runStrategy } from './run-strategy.js';
import { Strategy } from './strategies.js';
import { MAX_MEAN_RATIO, MIN_MEAN_RATIO, WAVES_PER_DAY } from './trace.js';

const DEFAULT_DAYS = 1;
const FULL_DAYS = 7;
const TICK_MS = 10_000;

const MAX_COST_PERCENT = 45;
const MIN_DEMAND_MET_PERCENT = 99.9;

interface StrategyResult {
  readonly deployment: FleetDeployment;
  readonly strategy: Strategy;
  readonly lateOrders: LateOrderHandling;
  readonly totals: RunTotals;
}

/** Measures cost, demand served and duplicate orders of the fleet, compared with simpler strategies. */
export const fleetExperiment: Experiment = {
  name: 'fleet',
  description: 'cost and load held through reclaim waves with refused starts',
  run: runFleet,
};

async function runFleet(options: ExperimentOptions): Promise<ExperimentReport> {
  const runs: StrategyResult[] = [];
  for (const deployment of DEPLOYMENTS) {
    for (const strategy of Object.values(Strategy)) {
      runs.push(
        await runDeployment(
          deployment,
          strategy,
          LateOrderHandling.Dropped,
          options,
        ),
      );
    }
    runs.push(
      await runDeployment(
        deployment,
        Strategy.Spread,
        LateOrderHandling.Executed,
        options,
      ),
    );
  }
  return {
    targets: DEPLOYMENTS.flatMap(deployment => targetsOf(deployment, runs)),
    rows: [inputRow(), ...runs.map(run => rowOf(run, runs))],
  };
}

async function runDeployment(
  deployment: FleetDeployment,
  strategy: Strategy,
  lateOrders: LateOrderHandling,
  options: ExperimentOptions,
): Promise<StrategyResult> {
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
  runs: readonly StrategyResult[],
): ExperimentReport['targets'] {
  const spreadTotals = findTotals(runs, name, Strategy.Spread);
  const cost = costPercent(
    spreadTotals,
    findTotals(runs, name, Strategy.OnDemandSpread),
  );
  const { doubleOrders, heldPercent, lostRequests } = spreadTotals;
  return [
    upperBoundTarget(
      `${name}: cost against all on demand that keeps the same promise`,
      cost,
      MAX_COST_PERCENT,
      '%',
    ),
    lowerBoundTarget(
      `${name}: time with the demand held`,
      floorToHundredths(heldPercent),
      MIN_DEMAND_MET_PERCENT,
      '%',
    ),
    upperBoundTarget(
      `${name}: accepted work lost`,
      lostRequests,
      0,
      'requests',
    ),
    upperBoundTarget(`${name}: double orders`, doubleOrders, 0, 'orders'),
  ];
}

function rowOf(
  run: StrategyResult,
  runs: readonly StrategyResult[],
): ReportRow {
  const { name } = run.deployment;
  const { totals } = run;
  const percentOf = (strategy: Strategy) =>
    costPercent(totals, findTotals(runs, name, strategy));
  return {
    deployment: name,
    strategy: run.strategy,
    lateOrders: run.lateOrders,
    cost: floorToHundredths(totals.cost),
    percentOfOnDemand: percentOf(Strategy.OnDemandSpread),
    percentOfOnDemandNoSpare: percentOf(Strategy.OnDemandOnly),
    percentOfGreedy: percentOf(Strategy.Greedy),
    heldPercent: floorToHundredths(totals.heldPercent),
    worstShortfallPercent: floorToHundredths(totals.worstShortfallPercent),
    lostRequests: totals.lostRequests,
    doubleOrders: totals.doubleOrders,
    starts: totals.starts,
    pauses: totals.pauses,
    kills: totals.kills,
    pausesAtChange: totals.pausesAtChange,
  };
}

/** Returns a row with the inputs of the experiment that the costs depend on. */
function inputRow(): ReportRow {
  const ratios = `${MIN_MEAN_RATIO} to ${MAX_MEAN_RATIO}`;
  return {
    deployment: 'input',
    strategy: `mean reclaimable price ${ratios} of on demand, ${WAVES_PER_DAY} waves a day`,
  };
}

function findTotals(
  runs: readonly StrategyResult[],
  deployment: string,
  strategy: Strategy,
): RunTotals {
  const run = runs.find(
    result =>
      result.deployment.name === deployment &&
      result.strategy === strategy &&
      result.lateOrders === LateOrderHandling.Dropped,
  );
  if (run === undefined) {
    throw new RangeError(
      `There is no result of ${strategy} for ${deployment}; run it before the comparison.`,
    );
  }
  return run.totals;
}

function costPercent(totals: RunTotals, baseline: RunTotals): number {
  return floorToHundredths((100 * totals.cost) / baseline.cost);
}

function floorToHundredths(value: number): number {
  return Math.floor(value * 100) / 100;
}
