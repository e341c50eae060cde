import { FairAdmission } from '@skylarkreach/core/admission';
import type { Clock } from '@skylarkreach/core/ports';
import { SeededRandom } from '@skylarkreach/core/ports';
import type { Router } from '@skylarkreach/core/routing';
import {
  BudgetedRetryPolicy,
  ExpectedFinishRouter,
  LeastInFlightRouter,
  RetryAction,
  RetryBudget,
} from '@skylarkreach/core/routing';

import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
  TargetResult,
} from '../experiment/index.js';
import { lowerBoundTarget, upperBoundTarget } from '../experiment/index.js';
import type {
  RunResults,
  SimulatedDaemonDependencies,
  WorkloadShape,
} from '../routing/index.js';
import {
  createWorkload,
  PrefixHashRouter,
  RoundRobinRouter,
  SHAPES,
  Simulation,
} from '../routing/index.js';

const DAEMONS = 8;
const MAX_RUNNING = 64;
const MAX_ACTIVE = 256;
const DURATION_MS = 20_000;
const WARM_UP_MS = 10_000;
const FULL_FACTOR = 5;
const LOAD_FACTORS = [1, 2, 4] as const;
const MAX_REFUSED_ATTEMPTS = 5;
const MIN_USEFUL_SHARE = 0.95;
const MAX_AMPLIFICATION = 1.1;

/** Highest rate, in requests per second, at which 99% finish by their deadline without admission control. */
const CAPACITY_PER_SECOND: Readonly<Record<string, number>> = {
  kowhai: 60,
  lumela: 250,
};

interface OverloadVariant {
  readonly name: string;
  readonly createDaemon: (
    seed: number,
    clock: Clock,
    index: number,
  ) => SimulatedDaemonDependencies;
}

const FAIR_ADMISSION = 'fair admission';

/** Creates a variant without admission control that retries refused attempts after 1 ms. */
function createUnlimitedVariant(
  name: string,
  createRouter: (seed: number, index: number) => Router,
): OverloadVariant {
  return {
    name: `no limit, ${name}`,
    createDaemon: (seed, _clock, index) => ({
      router: createRouter(seed, index),
      retryAtMs: (_item, failures, nowMs) =>
        failures < MAX_REFUSED_ATTEMPTS ? nowMs + 1 : undefined,
    }),
  };
}

const VARIANTS: readonly OverloadVariant[] = [
  createUnlimitedVariant(
    'round robin',
    (_seed, index) => new RoundRobinRouter(index),
  ),
  createUnlimitedVariant(
    'least in flight',
    seed => new LeastInFlightRouter(new SeededRandom(seed)),
  ),
  createUnlimitedVariant('prefix hash only', () => new PrefixHashRouter()),
  { name: FAIR_ADMISSION, createDaemon: createFairDaemon },
];

function createFairDaemon(
  seed: number,
  clock: Clock,
): SimulatedDaemonDependencies {
  const random = new SeededRandom(seed);
  const router = new ExpectedFinishRouter(random);
  const retries = new BudgetedRetryPolicy(new RetryBudget(), random);
  return {
    router,
    admission: new FairAdmission(clock, router),
    retryAtMs: (item, failures, nowMs) => {
      if (failures === 1) retries.recordFirstAttempt();
      const { deadlineAtMs } = item;
      const failed = { mayRepeat: true, attempts: failures, deadlineAtMs };
      const decision = retries.decide(failed, nowMs);
      if (decision.action === RetryAction.GiveUp) return undefined;
      return decision.retryAtMs;
    },
  };
}

/** Measures useful work, lookup latency and retry amplification at and above capacity. */
export const overloadExperiment: Experiment = {
  name: 'overload',
  description:
    'useful work, look-up latency and retries at 1x, 2x, 4x capacity',
  run: runOverload,
};

async function runOverload(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const rows: ReportRow[] = [];
  const targets: TargetResult[] = [];
  for (const shape of SHAPES) {
    for (const variant of VARIANTS) {
      const runs = await runLoadFactors(shape, variant, options);
      rows.push(...runs.map((_, at) => reportRow(shape, variant, at, runs)));
      if (variant.name === FAIR_ADMISSION)
        targets.push(...targetsOf(shape.name, runs));
    }
  }
  return { rows, targets };
}

async function runLoadFactors(
  shape: WorkloadShape,
  variant: OverloadVariant,
  options: ExperimentOptions,
): Promise<readonly RunResults[]> {
  const runs: RunResults[] = [];
  for (const loadFactor of LOAD_FACTORS) {
    const shapeAtFactor = shapeAtLoad(shape, loadFactor, options.full);
    const simulation = new Simulation(shapeAtFactor, {
      daemons: DAEMONS,
      seed: options.seed,
      measuredFromMs: WARM_UP_MS,
      maxRunning: MAX_RUNNING,
      maxActive: MAX_ACTIVE,
      createDaemon: (index, clock) =>
        variant.createDaemon(options.seed * DAEMONS + index, clock, index),
    });
    runs.push(
      await simulation.run(createWorkload(shapeAtFactor, options.seed)),
    );
  }
  return runs;
}

/** Scales the shape to a multiple of capacity: the documents stay, and each gets that many times the requests. */
function shapeAtLoad(
  shape: WorkloadShape,
  loadFactor: number,
  isFull: boolean,
): WorkloadShape {
  const { max, min } = shape.requestsPerDocument;
  return {
    ...shape,
    requestsPerSecond: loadFactor * (CAPACITY_PER_SECOND[shape.name] ?? 0),
    requestsPerDocument: { min: min * loadFactor, max: max * loadFactor },
    durationMs: DURATION_MS * (isFull ? FULL_FACTOR : 1),
  };
}

function reportRow(
  shape: WorkloadShape,
  variant: OverloadVariant,
  loadIndex: number,
  runs: readonly RunResults[],
): ReportRow {
  const run = runs[loadIndex];
  const at1x = runs[0];
  if (run === undefined || at1x === undefined) return {};
  const ratio = run.lookupP95Ms / at1x.lookupP95Ms;
  return {
    deployment: shape.name,
    way: variant.name,
    load: LOAD_FACTORS[loadIndex] ?? 0,
    requests: run.requests,
    refused: run.refusals,
    finished: run.finished,
    usefulTokens: run.usefulTokens,
    lookupP95Ms: run.lookupP95Ms,
    lookupP95Against1x: Number(ratio.toFixed(2)),
    amplification: amplificationOf(run),
    finishedFairness: Number(run.finishedFairness.toFixed(4)),
    maxRefusalMs: Math.round(run.maxRefusalMs),
  };
}

/** Returns the number of dispatches per request that admission did not refuse. */
function amplificationOf(run: RunResults): number {
  const admitted = run.requests - run.refusals;
  return Number((run.dispatches / Math.max(1, admitted)).toFixed(4));
}

function targetsOf(
  deployment: string,
  runs: readonly RunResults[],
): readonly TargetResult[] {
  const at1x = runs[0];
  const at4x = runs[2];
  if (at1x === undefined || at4x === undefined) return [];
  return [
    lowerBoundTarget(
      `${deployment}: useful work at 4x against 1x`,
      at4x.usefulTokens / at1x.usefulTokens,
      MIN_USEFUL_SHARE,
      '',
    ),
    upperBoundTarget(
      `${deployment}: retry amplification at 4x`,
      amplificationOf(at4x),
      MAX_AMPLIFICATION,
      '',
    ),
  ];
}
