import { MoveState } from '@skylarkreach/core/moves';
import { SeededRandom } from '@skylarkreach/core/ports';

import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
  TargetResult,
} from '../experiment/index.js';
import { lowerBoundTarget, upperBoundTarget } from '../experiment/index.js';
import {
  createFixedStepPolicy,
  createThresholdPolicy,
} from './baseline-policies.js';
import { BAD_CASES, MoveCase } from './fault-model.js';
import type { MoveOutcome, SharePolicyFactory } from './simulate-move.js';
import { createControllerPolicy, simulateMove } from './simulate-move.js';

const DEFAULT_MOVE_COUNT = 200;
const FULL_MOVE_COUNT = 1_000;
/** Fraction of the moves that are also run with each baseline. */
const BASELINE_FRACTION = 0.25;
const SEED_LIMIT = 2 ** 31;

/** Simulates version moves in every case with the move controller and with two baseline policies. */
export const movesExperiment: Experiment = {
  name: 'moves',
  description:
    'bad versions rolled back and good versions completed by the deadline',
  run: options => Promise.resolve(runMoves(options)),
};

function runMoves(options: ExperimentOptions): ExperimentReport {
  const moveCount = options.full ? FULL_MOVE_COUNT : DEFAULT_MOVE_COUNT;
  const seedsByCase = drawSeeds(options.seed);
  const run = (createPolicy: SharePolicyFactory, count: number) =>
    Object.values(MoveCase).flatMap(moveCase =>
      (seedsByCase.get(moveCase) ?? [])
        .slice(0, count)
        .map(seed => simulateMove(moveCase, seed, createPolicy)),
    );
  const baselineMoveCount = Math.ceil(moveCount * BASELINE_FRACTION);
  const outcomes = run(createControllerPolicy, moveCount);
  return {
    rows: [
      ...reportRows('evidence', outcomes),
      ...reportRows(
        'fixed steps',
        run(createFixedStepPolicy, baselineMoveCount),
      ),
      ...reportRows(
        'plain threshold',
        run(createThresholdPolicy, baselineMoveCount),
      ),
    ],
    targets: evaluateTargets(outcomes),
  };
}

/** Draws the seeds of the moves of each case at random, because generators with consecutive seeds start with similar values. */
function drawSeeds(seed: number): ReadonlyMap<MoveCase, readonly number[]> {
  const random = new SeededRandom(seed);
  return new Map(
    Object.values(MoveCase).map(moveCase => [
      moveCase,
      Array.from({ length: FULL_MOVE_COUNT }, () =>
        random.nextInteger(SEED_LIMIT),
      ),
    ]),
  );
}

function reportRows(
  way: string,
  outcomes: readonly MoveOutcome[],
): ReportRow[] {
  return Object.values(MoveCase).map(moveCase => {
    const caseOutcomes = outcomes.filter(
      outcome => outcome.moveCase === moveCase,
    );
    return {
      way,
      moveCase,
      moves: caseOutcomes.length,
      takenBackPercent: percent(caseOutcomes, isRolledBack),
      donePercent: percent(caseOutcomes, isDone),
      badTrafficPercent: badTrafficPercent(caseOutcomes),
      worstBadTrafficPercent: Math.max(
        ...caseOutcomes.map(outcome => badTrafficPercent([outcome])),
      ),
      lateBadRequests: sum(caseOutcomes, outcome => outcome.lateBadRequests),
    };
  });
}

function evaluateTargets(outcomes: readonly MoveOutcome[]): TargetResult[] {
  const bad = outcomes.filter(outcome => BAD_CASES.includes(outcome.moveCase));
  const good = outcomes.filter(outcome => outcome.moveCase === MoveCase.Good);
  const incident = outcomes.filter(
    outcome => outcome.moveCase === MoveCase.SharedIncident,
  );
  const rolledBack = bad.filter(isRolledBack);
  const donePercent = percent(
    good,
    outcome => isDone(outcome) && !outcome.endedAfterDeadline,
  );
  const inconsistent = outcomes.filter(
    outcome => outcome.unreported || outcome.conflicting,
  );
  const firstShare = Math.max(
    ...outcomes.map(outcome => outcome.firstStageShare * 100),
  );
  return [
    lowerBoundTarget(
      'bad versions taken back',
      percent(bad, isRolledBack),
      99,
      '%',
    ),
    upperBoundTarget(
      'requests served by a bad version',
      badTrafficPercent(rolledBack),
      2,
      '% of traffic',
    ),
    upperBoundTarget(
      'requests of a bad version over 5 s after the brake',
      sum(rolledBack, outcome => outcome.lateBadRequests),
      0,
      '',
    ),
    lowerBoundTarget(
      'good versions done by the deadline',
      donePercent,
      99,
      '%',
    ),
    upperBoundTarget(
      'shared incidents taken back',
      percent(incident, isRolledBack),
      5,
      '%',
    ),
    upperBoundTarget(
      'endings unreported or conflicting',
      inconsistent.length,
      0,
      '',
    ),
    upperBoundTarget('share during the first stage', firstShare, 5, '%'),
  ];
}

function isRolledBack(outcome: MoveOutcome): boolean {
  return outcome.state === MoveState.RolledBack;
}

function isDone(outcome: MoveOutcome): boolean {
  return outcome.state === MoveState.Done;
}

function percent(
  outcomes: readonly MoveOutcome[],
  matches: (outcome: MoveOutcome) => boolean,
): number {
  return (100 * outcomes.filter(matches).length) / Math.max(1, outcomes.length);
}

function badTrafficPercent(outcomes: readonly MoveOutcome[]): number {
  const requests = sum(outcomes, outcome => outcome.requests);
  const badRequests = sum(outcomes, outcome => outcome.badRequests);
  return (100 * badRequests) / Math.max(1, requests);
}

function sum(
  outcomes: readonly MoveOutcome[],
  value: (outcome: MoveOutcome) => number,
): number {
  return outcomes.reduce((total, outcome) => total + value(outcome), 0);
}
