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
import { atMost } from '../experiment/index.js';
import { SoakFaults } from './soak-faults.js';

const DEFAULT_LOAD_MS = 18_000;
const MS_PER_MINUTE = 60_000;
const DATA_CENTRES = ['north-1', 'north-2', 'north-3'];
const MAX_WAITING = 40;
const MIN_CALL_GAP_MS = 30;
const CALL_GAP_SPREAD_MS = 60;
const MIN_FAULT_GAP_MS = 200;
const FAULT_GAP_SPREAD_MS = 800;
const POSTING_MS = 100;
const LOST_ANSWER_SHARE = 0.05;
const ANSWER_SHARE = 0.5;
const POSTING_SHARE = 0.3;

/** Promises that a soak puts to the test; it runs no version move. */
const TESTED_PROMISES = Object.values(Guarantee).filter(
  promise => promise !== Guarantee.BoundedBadVersionShare,
);

/** Random faults against the local deployment, and the promises after them. */
export const soakExperiment: Experiment = {
  name: 'soak',
  description: 'promises that break under random mixes of all faults',
  run: runSoak,
};

async function runSoak(options: ExperimentOptions): Promise<ExperimentReport> {
  const { seed } = options;
  const loadMs = loadMsOf(options.extra.minutes);
  const world = createWorld(seed);
  const faults = new SoakFaults(world, new SeededRandom(seed), DATA_CENTRES);
  await world.start();
  try {
    const endAtMs = world.deployment.clock.nowMs() + loadMs;
    await Promise.all([
      sendLoad(world, new SeededRandom(seed + 1), endAtMs),
      injectFaults(world, faults, new SeededRandom(seed + 2), endAtMs),
    ]);
    const violations = await world.check();
    printViolations(seed, world, violations);
    return await report(world.callers, faults, violations);
  } finally {
    await world.stop();
  }
}

/** Length of the load in milliseconds. Throws `RangeError`. */
function loadMsOf(minutes: string | undefined): number {
  if (minutes === undefined) return DEFAULT_LOAD_MS;
  const loadMs = Number(minutes) * MS_PER_MINUTE;
  if (loadMs > 0) return loadMs;
  throw new RangeError(`"${minutes}" is no length; give --minutes a number.`);
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
        responseDelayMs: POSTING_MS,
        dropsResponse: () => random.nextFloat() < LOST_ANSWER_SHARE,
      },
    },
    CallerPath.Balancer,
  );
}

async function sendLoad(
  { callers, deployment }: ScenarioWorld,
  random: Random,
  endAtMs: number,
): Promise<void> {
  const { clock } = deployment;
  while (clock.nowMs() < endAtMs) {
    if (callers.pendingRequestCount < MAX_WAITING)
      sendOne(callers, random.nextFloat());
    const gapMs = MIN_CALL_GAP_MS + random.nextInteger(CALL_GAP_SPREAD_MS);
    await clock.waitUntil(clock.nowMs() + gapMs);
  }
}

function sendOne(callers: ScenarioCallers, choice: number): void {
  if (choice < ANSWER_SHARE) callers.startCompletion();
  else if (choice < ANSWER_SHARE + POSTING_SHARE) callers.sendPosting();
  else callers.sendPostingOnce();
}

async function injectFaults(
  { deployment }: ScenarioWorld,
  faults: SoakFaults,
  random: Random,
  endAtMs: number,
): Promise<void> {
  const { clock } = deployment;
  while (clock.nowMs() < endAtMs) {
    const gapMs = MIN_FAULT_GAP_MS + random.nextInteger(FAULT_GAP_SPREAD_MS);
    await clock.waitUntil(clock.nowMs() + gapMs);
    faults.injectNext();
  }
  await faults.ended();
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
  const subjects = new Set(violations.map(each => each.subject));
  console.error(world.trace.toText(subjects));
}

async function report(
  { answers, postings }: ScenarioCallers,
  faults: SoakFaults,
  violations: readonly Violation[],
): Promise<ExperimentReport> {
  const outcomes = await Promise.all(postings.map(each => each.ended));
  const postingRows = Object.values(PostingOutcome).map(outcome => ({
    what: `postings told ${outcome}`,
    count: outcomes.filter(each => each.outcome === outcome).length,
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
  const targets = TESTED_PROMISES.map(promise => {
    const broken = violations.filter(each => each.guarantee === promise).length;
    return atMost(promise, broken, 0, 'violations');
  });
  return { rows, targets };
}
