import type { Random } from '@skylarkreach/core/ports';
import { SeededRandom } from '@skylarkreach/core/ports';
import type { ScenarioCallers, Violation } from '@skylarkreach/stand-ins';
import {
  CallerPath,
  Guarantee,
  PostingOutcome,
  ScenarioWorld,
} from '@skylarkreach/stand-ins';

import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
} from '../experiment/index.js';
import { upperBoundTarget } from '../experiment/index.js';
import { SoakFaultInjector } from './soak-fault-injector.js';

const DEFAULT_LOAD_DURATION_MS = 18_000;
const MS_PER_MINUTE = 60_000;
const DATA_CENTRES = ['north-1', 'north-2', 'north-3'];
const MAX_WAITING_CALLERS = 40;
const MIN_CALL_GAP_MS = 30;
const CALL_GAP_SPREAD_MS = 60;
const MIN_FAULT_GAP_MS = 200;
const FAULT_GAP_SPREAD_MS = 800;
const POSTING_RESPONSE_DELAY_MS = 100;
const RESPONSE_LOSS_PROBABILITY = 0.05;
const QUESTION_SHARE = 0.5;
const POSTING_SHARE = 0.3;

/** Promises that the soak checks; bounded bad share is left out because no version move runs. */
const CHECKED_PROMISES = Object.values(Guarantee).filter(
  promise => promise !== Guarantee.BoundedBadVersionShare,
);

/** Injects random faults into a local deployment under load, then checks the promises. */
export const soakExperiment: Experiment = {
  name: 'soak',
  description: 'promises violated under random combinations of faults',
  run: runSoak,
};

async function runSoak(options: ExperimentOptions): Promise<ExperimentReport> {
  const { seed } = options;
  const loadDurationMs = parseLoadDurationMs(options.extra.minutes);
  const world = createWorld(seed);
  const faults = new SoakFaultInjector(
    world,
    new SeededRandom(seed),
    DATA_CENTRES,
  );
  await world.start();
  try {
    const endAtMs = world.deployment.clock.nowMs() + loadDurationMs;
    await Promise.all([
      generateLoad(world, new SeededRandom(seed + 1), endAtMs),
      injectFaults(world, faults, new SeededRandom(seed + 2), endAtMs),
    ]);
    const violations = await world.check();
    printViolations(seed, world, violations);
    return await report(world.callers, faults, violations);
  } finally {
    await world.stop();
  }
}

/** Returns the duration of the load in milliseconds. Throws `RangeError` if it is not a positive number. */
function parseLoadDurationMs(minutes: string | undefined): number {
  if (minutes === undefined) return DEFAULT_LOAD_DURATION_MS;
  const loadDurationMs = Number(minutes) * MS_PER_MINUTE;
  if (loadDurationMs > 0) return loadDurationMs;
  throw new RangeError(
    `"${minutes}" is not a valid duration; set --minutes to a positive number.`,
  );
}

function createWorld(seed: number): ScenarioWorld {
  const random = new SeededRandom(seed + 3);
  const answersOutcomes = random.nextFloat() < 0.5;
  return new ScenarioWorld(
    {
      dataCentres: DATA_CENTRES,
      daemons: 6,
      engines: 6,
      services: [
        { group: 'ledger', deduplicatesByKey: false, answersOutcomes },
      ],
      serviceOptions: {
        responseDelayMs: POSTING_RESPONSE_DELAY_MS,
        dropsResponse: () => random.nextFloat() < RESPONSE_LOSS_PROBABILITY,
      },
    },
    CallerPath.Balancer,
  );
}

async function generateLoad(
  { callers, deployment }: ScenarioWorld,
  random: Random,
  endAtMs: number,
): Promise<void> {
  const { clock } = deployment;
  while (clock.nowMs() < endAtMs) {
    if (callers.pendingRequestCount < MAX_WAITING_CALLERS)
      sendRandomRequest(callers, random.nextFloat());
    const gapMs = MIN_CALL_GAP_MS + random.nextInteger(CALL_GAP_SPREAD_MS);
    await clock.waitUntil(clock.nowMs() + gapMs);
  }
}

function sendRandomRequest(callers: ScenarioCallers, choice: number): void {
  if (choice < QUESTION_SHARE) callers.startCompletion();
  else if (choice < QUESTION_SHARE + POSTING_SHARE) callers.sendPosting();
  else callers.sendPostingOnce();
}

async function injectFaults(
  { deployment }: ScenarioWorld,
  faults: SoakFaultInjector,
  random: Random,
  endAtMs: number,
): Promise<void> {
  const { clock } = deployment;
  while (clock.nowMs() < endAtMs) {
    const gapMs = MIN_FAULT_GAP_MS + random.nextInteger(FAULT_GAP_SPREAD_MS);
    await clock.waitUntil(clock.nowMs() + gapMs);
    faults.injectNext();
  }
  await faults.waitUntilSettled();
}

function printViolations(
  seed: number,
  world: ScenarioWorld,
  violations: readonly Violation[],
): void {
  if (violations.length === 0) return;
  console.error(`Seed ${seed}:`);
  for (const { message, guarantee, subject } of violations) {
    console.error(`${guarantee} ${subject}: ${message}`);
  }
  const subjects = new Set(violations.map(violation => violation.subject));
  console.error(world.trace.toText(subjects));
}

async function report(
  { answers, postings }: ScenarioCallers,
  faults: SoakFaultInjector,
  violations: readonly Violation[],
): Promise<ExperimentReport> {
  const outcomes = await Promise.all(postings.map(posting => posting.ended));
  const postingRows = Object.values(PostingOutcome).map(outcome => ({
    what: `postings told ${outcome}`,
    count: outcomes.filter(ended => ended.outcome === outcome).length,
  }));
  const faultRows = [...faults.counts].map(([what, count]) => ({
    what,
    count,
  }));
  const rows: readonly ReportRow[] = [
    { what: 'answers', count: answers.length },
    ...postingRows,
    ...faultRows,
  ];
  const targets = CHECKED_PROMISES.map(promise => {
    const broken = violations.filter(
      violation => violation.guarantee === promise,
    ).length;
    return upperBoundTarget(promise, broken, 0, 'violations');
  });
  return { rows, targets };
}
