import { SeededRandom } from '@skylarkreach/core/ports';
import type { ExpectedFinishOptions, Router } from '@skylarkreach/core/routing';
import {
  DEFAULT_EXPECTED_FINISH_OPTIONS,
  ExpectedFinishRouter,
  LeastInFlightRouter,
} from '@skylarkreach/core/routing';

import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
  TargetResult,
} from '../experiment/index.js';
import { upperBoundTarget } from '../experiment/index.js';
import { PrefixHashRouter, RoundRobinRouter } from './baseline-routers.js';
import { runPlacements } from './placement-experiment.js';
import type { RunResults } from './run-results.js';
import { Simulation } from './simulation.js';
import type { WorkItem, WorkloadShape } from './workload.js';
import { createWorkload } from './workload.js';
import { SHAPES } from './workload-shapes.js';

const DAEMON_COUNT = 8;
const FULL_DURATION_FACTOR = 5;
const UNLIMITED_ACTIVE = 100_000;
const MAX_RUNNING = 64;
/** Upper bound of recomputed tokens relative to the least-in-flight router. */
const MAX_RECOMPUTED_RATIO = 0.5;

interface RoutingStrategy {
  readonly name: string;
  readonly createRouter: (seed: number, index: number) => Router;
}

const LEAST_IN_FLIGHT = 'least in flight';
const PREFIX_HASH = 'prefix hash only';
const EXPECTED_FINISH = 'expected finish';

function createVariant(
  name: string,
  changes: Partial<ExpectedFinishOptions>,
): RoutingStrategy {
  const options = { ...DEFAULT_EXPECTED_FINISH_OPTIONS, ...changes };
  return {
    name: `${EXPECTED_FINISH}, ${name}`,
    createRouter: seed =>
      new ExpectedFinishRouter(new SeededRandom(seed), options),
  };
}

/**
 * Variants of the expected-finish router. The moving average with weight 0.125
 * and the trade-off between cache hits and spreading load follow Chalkiadaki
 * and Magoutis (2012).
 */
const VARIANTS: readonly RoutingStrategy[] = [
  createVariant('newest decode rate', { decodeRateWeight: 1 }),
  createVariant('decode rate weight 0.125', { decodeRateWeight: 0.125 }),
  createVariant('prefill weight 1', { prefillWeight: 1 }),
];

const STRATEGIES: readonly RoutingStrategy[] = [
  {
    name: 'round robin',
    createRouter: (_seed, index) => new RoundRobinRouter(index),
  },
  {
    name: LEAST_IN_FLIGHT,
    createRouter: seed => new LeastInFlightRouter(new SeededRandom(seed)),
  },
  { name: PREFIX_HASH, createRouter: () => new PrefixHashRouter() },
  {
    name: EXPECTED_FINISH,
    createRouter: seed => new ExpectedFinishRouter(new SeededRandom(seed)),
  },
  ...VARIANTS,
];

/** Compares routing strategies by recomputed tokens and latency. */
export const routingExperiment: Experiment = {
  name: 'routing',
  description:
    'recomputed tokens and latency by routing strategy, late calls by placement rule',
  run: runRouting,
};

async function runRouting(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const rows: ReportRow[] = [];
  const targets: TargetResult[] = [];
  for (const shape of selectShapes(options)) {
    const results = await runStrategies(shape, options.seed);
    for (const [way, result] of results) {
      rows.push(reportRow(shape.name, way, result));
    }
    targets.push(...evaluateTargets(shape.name, results));
  }
  if (options.extra.deployment !== undefined) return { rows, targets };
  const placements = await runPlacements(options);
  return {
    rows: [...rows, ...placements.rows],
    targets: [...targets, ...placements.targets],
  };
}

function selectShapes(options: ExperimentOptions): readonly WorkloadShape[] {
  const deployment = options.extra.deployment;
  const shapes = SHAPES.filter(
    shape => deployment === undefined || shape.name === deployment,
  );
  if (shapes.length === 0) {
    const known = SHAPES.map(shape => shape.name).join(' or ');
    throw new Error(
      `Unknown deployment "${deployment}"; set --deployment to ${known}.`,
    );
  }
  if (!options.full) return shapes;
  return shapes.map(shape => ({
    ...shape,
    durationMs: shape.durationMs * FULL_DURATION_FACTOR,
  }));
}

async function runStrategies(
  shape: WorkloadShape,
  seed: number,
): Promise<ReadonlyMap<string, RunResults>> {
  const items = createWorkload(shape, seed);
  const results = new Map<string, RunResults>();
  for (const strategy of STRATEGIES) {
    results.set(strategy.name, await runStrategy(shape, items, strategy, seed));
  }
  return results;
}

function runStrategy(
  shape: WorkloadShape,
  items: readonly WorkItem[],
  strategy: RoutingStrategy,
  seed: number,
): Promise<RunResults> {
  const simulation = new Simulation(shape, {
    daemons: DAEMON_COUNT,
    seed,
    maxRunning: MAX_RUNNING,
    maxActive: UNLIMITED_ACTIVE,
    createDaemon: index => ({
      router: strategy.createRouter(seed * DAEMON_COUNT + index, index),
    }),
  });
  return simulation.run(items);
}

function reportRow(
  deployment: string,
  way: string,
  results: RunResults,
): ReportRow {
  return {
    deployment,
    way,
    requests: results.requests,
    finished: results.finished,
    prefilledTokens: results.prefilledTokens,
    recomputedTokens: results.recomputedTokens,
    firstTokenP95Ms: results.firstTokenP95Ms,
    tokenGapP95Ms: results.tokenGapP95Ms,
    fairness: Number(results.firstTokenFairness.toFixed(4)),
  };
}

function evaluateTargets(
  deployment: string,
  results: ReadonlyMap<string, RunResults>,
): readonly TargetResult[] {
  const expectedFinish = findResult(results, EXPECTED_FINISH);
  const leastInFlight = findResult(results, LEAST_IN_FLIGHT);
  const prefixHash = findResult(results, PREFIX_HASH);
  return [
    upperBoundTarget(
      `${deployment}: recomputed tokens, half of least in flight`,
      expectedFinish.recomputedTokens,
      leastInFlight.recomputedTokens * MAX_RECOMPUTED_RATIO,
      'tokens',
    ),
    upperBoundTarget(
      `${deployment}: recomputed tokens, prefix hash only`,
      expectedFinish.recomputedTokens,
      prefixHash.recomputedTokens,
      'tokens',
    ),
    upperBoundTarget(
      `${deployment}: p95 time to first token, least in flight`,
      expectedFinish.firstTokenP95Ms,
      leastInFlight.firstTokenP95Ms,
      'ms',
    ),
    upperBoundTarget(
      `${deployment}: p95 between tokens, least in flight`,
      expectedFinish.tokenGapP95Ms,
      leastInFlight.tokenGapP95Ms,
      'ms',
    ),
  ];
}

function findResult(
  results: ReadonlyMap<string, RunResults>,
  strategy: string,
): RunResults {
  const result = results.get(strategy);
  if (result === undefined)
    throw new Error(`No results for routing strategy "${strategy}".`);
  return result;
}
