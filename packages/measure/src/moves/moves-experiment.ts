import { MoveState } from '@skylarkreach/core/moves';
import { SeededRandom } from '@skylarkreach/core/ports';

import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
  TargetResult,
} from '../experiment/index.js';
import { atLeast, atMost } from '../experiment/index.js';
import {
  createFixedStepPolicy,
  createThresholdPolicy,
} from './baseline-policies.js';
import { BAD_CASES, MoveCase } from './fault-model.js';
import type { MoveOutcome, SharePolicyFactory } from './simulate-move.js';
import { createControllerPolicy, simulateMove } from './simulate-move.js';

const DEFAULT_MOVE_COUNT = 200;
const FULL_MOVE_COUNT = 1_000;
/** Baselines run this part of the moves. */
const BASELINE_FRACTION = 0.25;
const SEED_LIMIT = 2 ** 31;

/** Version moves of each kind, side by side with two baselines. */
export const movesExperiment: Experiment = {
  name: 'moves',
  description: 'bad versions taken back, good ones done by the deadline',
  run: options => Promise.resolve(runMoves(options)),
};

function runMoves(options: ExperimentOptions): ExperimentReport {
  const moves = options.full ? FULL_MOVE_COUNT : DEFAULT_MOVE_COUNT;
  const seedsByCase = drawSeeds(options.seed);
  const run = (createSource: SharePolicyFactory, count: number) =>
    Object.values(MoveCase).flatMap(moveCase =>
      (seedsByCase.get(moveCase) ?? [])
        .slice(0, count)
        .map(seed => simulateMove(moveCase, seed, createSource)),
    );
  const baselineMoves = Math.ceil(moves * BASELINE_FRACTION);
  const outcomes = run(createControllerPolicy, moves);
  return {
    rows: [
      ...reportRows('evidence', outcomes),
      ...reportRows('fixed steps', run(createFixedStepPolicy, baselineMoves)),
      ...reportRows(
        'plain threshold',
        run(createThresholdPolicy, baselineMoves),
      ),
    ],
    targets: evaluateTargets(outcomes),
  };
}

/** Seeds of the moves of each case; generators of neighbouring seeds begin alike. */
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
    const ofCase = outcomes.filter(each => each.moveCase === moveCase);
    return {
      way,
      moveCase,
      moves: ofCase.length,
      takenBackPercent: percent(ofCase, isRolledBack),
      donePercent: percent(ofCase, isDone),
      badTrafficPercent: badTrafficPercent(ofCase),
      worstBadTrafficPercent: Math.max(
        ...ofCase.map(each => badTrafficPercent([each])),
      ),
      lateBadRequests: sum(ofCase, each => each.lateBadRequests),
    };
  });
}

function evaluateTargets(outcomes: readonly MoveOutcome[]): TargetResult[] {
  const bad = outcomes.filter(each => BAD_CASES.includes(each.moveCase));
  const good = outcomes.filter(each => each.moveCase === MoveCase.Good);
  const incident = outcomes.filter(
    each => each.moveCase === MoveCase.SharedIncident,
  );
  const takenBack = bad.filter(isRolledBack);
  const doneInTime = percent(
    good,
    each => isDone(each) && !each.endedAfterDeadline,
  );
  const unclear = outcomes.filter(each => each.unreported || each.conflicting);
  const firstShare = Math.max(
    ...outcomes.map(each => each.firstStageShare * 100),
  );
  return [
    atLeast('bad versions taken back', percent(bad, isRolledBack), 99, '%'),
    atMost(
      'requests served by a bad version',
      badTrafficPercent(takenBack),
      2,
      '% of traffic',
    ),
    atMost(
      'requests of a bad version over 5 s after the brake',
      sum(takenBack, each => each.lateBadRequests),
      0,
      '',
    ),
    atLeast('good versions done by the deadline', doneInTime, 99, '%'),
    atMost(
      'shared incidents taken back',
      percent(incident, isRolledBack),
      5,
      '%',
    ),
    atMost('endings unreported or conflicting', unclear.length, 0, ''),
    atMost('share during the first stage', firstShare, 5, '%'),
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
  const requests = sum(outcomes, each => each.requests);
  const badRequests = sum(outcomes, each => each.badRequests);
  return (100 * badRequests) / Math.max(1, requests);
}

function sum(
  outcomes: readonly MoveOutcome[],
  value: (outcome: MoveOutcome) => number,
): number {
  return outcomes.reduce((total, outcome) => total + value(outcome), 0);
}
