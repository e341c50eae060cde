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
import { atMost } from '../experiment/index.js';
import { PrefixHashRouter, RoundRobinRouter } from './baseline-routers.js';
import type { RunResults } from './run-results.js';
import { SHAPES } from './workload-shapes.js';
import { Simulation } from './simulation.js';
import type { WorkItem, WorkloadShape } from './workload.js';
import { createWorkload } from './workload.js';

const DAEMONS = 8;
const FULL_FACTOR = 5;
const UNLIMITED = 100_000;
const MAX_RUNNING = 64;
const MAX_RECOMPUTED_SHARE = 0.5;

interface RoutingWay {
  readonly name: string;
  readonly createRouter: (seed: number, index: number) => Router;
}

const LEAST_IN_FLIGHT = 'least in flight';
const PREFIX_HASH = 'prefix hash only';
const EXPECTED_FINISH = 'expected finish';

function variant(
  name: string,
  changes: Partial<ExpectedFinishOptions>,
): RoutingWay {
  const options = { ...DEFAULT_EXPECTED_FINISH_OPTIONS, ...changes };
  return {
    name: `${EXPECTED_FINISH}, ${name}`,
    createRouter: seed =>
      new ExpectedFinishRouter(new SeededRandom(seed), options),
  };
}

/** Chalkiadaki and Magoutis (2012): moving average with weight 0.125, and cache against spread. */
const VARIANTS: readonly RoutingWay[] = [
  variant('newest decode rate', { decodeRateWeight: 1 }),
  variant('decode rate weight 0.125', { decodeRateWeight: 0.125 }),
  variant('prefill weight 1', { prefillWeight: 1 }),
];

const WAYS: readonly RoutingWay[] = [
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

/** Recomputed tokens and latency of the ways to choose an endpoint. */
export const routingExperiment: Experiment = {
  name: 'routing',
  description: 'recomputed tokens and latency of endpoint choice, by way',
  run: runRouting,
};

async function runRouting(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const rows: ReportRow[] = [];
  const targets: TargetResult[] = [];
  for (const shape of shapesOf(options)) {
    const results = await runWays(shape, options.seed);
    for (const [way, result] of results) {
      rows.push(reportRow(shape.name, way, result));
    }
    targets.push(...targetsOf(shape.name, results));
  }
  return { rows, targets };
}

function shapesOf(options: ExperimentOptions): readonly WorkloadShape[] {
  const wanted = options.extra.deployment;
  const shapes = SHAPES.filter(
    shape => wanted === undefined || shape.name === wanted,
  );
  if (shapes.length === 0) {
    const known = SHAPES.map(shape => shape.name).join(' or ');
    throw new Error(`There is no deployment "${wanted}"; give ${known}.`);
  }
  if (!options.full) return shapes;
  return shapes.map(shape => ({
    ...shape,
    durationMs: shape.durationMs * FULL_FACTOR,
  }));
}

async function runWays(
  shape: WorkloadShape,
  seed: number,
): Promise<ReadonlyMap<string, RunResults>> {
  const items = createWorkload(shape, seed);
  const results = new Map<string, RunResults>();
  for (const way of WAYS) {
    results.set(way.name, await runWay(shape, items, way, seed));
  }
  return results;
}

function runWay(
  shape: WorkloadShape,
  items: readonly WorkItem[],
  way: RoutingWay,
  seed: number,
): Promise<RunResults> {
  const simulation = new Simulation(shape, {
    daemons: DAEMONS,
    seed,
    maxRunning: MAX_RUNNING,
    maxActive: UNLIMITED,
    createDaemon: index => ({
      router: way.createRouter(seed * DAEMONS + index, index),
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

function targetsOf(
  deployment: string,
  results: ReadonlyMap<string, RunResults>,
): readonly TargetResult[] {
  const own = resultOf(results, EXPECTED_FINISH);
  const least = resultOf(results, LEAST_IN_FLIGHT);
  const prefix = resultOf(results, PREFIX_HASH);
  return [
    atMost(
      `${deployment}: recomputed tokens, half of least in flight`,
      own.recomputedTokens,
      least.recomputedTokens * MAX_RECOMPUTED_SHARE,
      'tokens',
    ),
    atMost(
      `${deployment}: recomputed tokens, prefix hash only`,
      own.recomputedTokens,
      prefix.recomputedTokens,
      'tokens',
    ),
    atMost(
      `${deployment}: p95 time to first token, least in flight`,
      own.firstTokenP95Ms,
      least.firstTokenP95Ms,
      'ms',
    ),
    atMost(
      `${deployment}: p95 between tokens, least in flight`,
      own.tokenGapP95Ms,
      least.tokenGapP95Ms,
      'ms',
    ),
  ];
}

function resultOf(
  results: ReadonlyMap<string, RunResults>,
  way: string,
): RunResults {
  const result = results.get(way);
  if (result === undefined) throw new Error(`There was no run of "${way}".`);
  return result;
}
