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
import { atLeast, atMost } from '../experiment/index.js';
import type {
  DaemonParts,
  RunResults,
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
const LOADS = [1, 2, 4] as const;
const MAX_REFUSED_ATTEMPTS = 5;
const MIN_USEFUL_SHARE = 0.95;
const MAX_AMPLIFICATION = 1.1;

/** Highest rate in requests a second at which 99% finish by their deadline without admission control. */
const CAPACITY_PER_SECOND: Readonly<Record<string, number>> = {
  kowhai: 60,
  lumela: 250,
};

interface OverloadWay {
  readonly name: string;
  readonly createDaemon: (
    seed: number,
    clock: Clock,
    index: number,
  ) => DaemonParts;
}

const FAIR = 'fair admission';

/** A router without admission control, whose refused attempts are sent again at once. */
function unlimited(
  name: string,
  createRouter: (seed: number, index: number) => Router,
): OverloadWay {
  return {
    name: `no limit, ${name}`,
    createDaemon: (seed, _clock, index) => ({
      router: createRouter(seed, index),
      retryAtMs: (_item, failures, nowMs) =>
        failures < MAX_REFUSED_ATTEMPTS ? nowMs + 1 : undefined,
    }),
  };
}

const WAYS: readonly OverloadWay[] = [
  unlimited('round robin', (_seed, index) => new RoundRobinRouter(index)),
  unlimited(
    'least in flight',
    seed => new LeastInFlightRouter(new SeededRandom(seed)),
  ),
  unlimited('prefix hash only', () => new PrefixHashRouter()),
  { name: FAIR, createDaemon: fairDaemon },
];

function fairDaemon(seed: number, clock: Clock): DaemonParts {
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

/** Useful work at and above capacity. */
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
    for (const way of WAYS) {
      const runs = await runLoads(shape, way, options);
      rows.push(...runs.map((_, at) => reportRow(shape, way, at, runs)));
      if (way.name === FAIR) targets.push(...targetsOf(shape.name, runs));
    }
  }
  return { rows, targets };
}

async function runLoads(
  shape: WorkloadShape,
  way: OverloadWay,
  options: ExperimentOptions,
): Promise<readonly RunResults[]> {
  const runs: RunResults[] = [];
  for (const load of LOADS) {
    const loaded = loadedShape(shape, load, options.full);
    const simulation = new Simulation(loaded, {
      daemons: DAEMONS,
      seed: options.seed,
      measuredFromMs: WARM_UP_MS,
      maxRunning: MAX_RUNNING,
      maxActive: MAX_ACTIVE,
      createDaemon: (index, clock) =>
        way.createDaemon(options.seed * DAEMONS + index, clock, index),
    });
    runs.push(await simulation.run(createWorkload(loaded, options.seed)));
  }
  return runs;
}

/** The shape at a multiple of capacity: the same documents, asked for as many times as often. */
function loadedShape(
  shape: WorkloadShape,
  load: number,
  isFull: boolean,
): WorkloadShape {
  const { max, min } = shape.requestsPerDocument;
  return {
    ...shape,
    requestsPerSecond: load * (CAPACITY_PER_SECOND[shape.name] ?? 0),
    requestsPerDocument: { min: min * load, max: max * load },
    durationMs: DURATION_MS * (isFull ? FULL_FACTOR : 1),
  };
}

function reportRow(
  shape: WorkloadShape,
  way: OverloadWay,
  loadIndex: number,
  runs: readonly RunResults[],
): ReportRow {
  const run = runs[loadIndex];
  const normal = runs[0];
  if (run === undefined || normal === undefined) return {};
  const ratio = run.lookupP95Ms / normal.lookupP95Ms;
  return {
    deployment: shape.name,
    way: way.name,
    load: LOADS[loadIndex] ?? 0,
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

/** Dispatches for each request that was not refused by admission. */
function amplificationOf(run: RunResults): number {
  const admitted = run.requests - run.refusals;
  return Number((run.dispatches / Math.max(1, admitted)).toFixed(4));
}

function targetsOf(
  deployment: string,
  runs: readonly RunResults[],
): readonly TargetResult[] {
  const normal = runs[0];
  const overloaded = runs[2];
  if (normal === undefined || overloaded === undefined) return [];
  return [
    atLeast(
      `${deployment}: useful work at 4x against 1x`,
      overloaded.usefulTokens / normal.usefulTokens,
      MIN_USEFUL_SHARE,
      '',
    ),
    atMost(
      `${deployment}: retry amplification at 4x`,
      amplificationOf(overloaded),
      MAX_AMPLIFICATION,
      '',
    ),
  ];
}
