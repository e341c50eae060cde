import type { PlacementPolicy } from '@skylarkreach/core/forwarding';
import type { LoadReports } from '@skylarkreach/core/placement';
import { LeastWorkPlacement } from '@skylarkreach/core/placement';
import type { Random } from '@skylarkreach/core/ports';
import { noopMetrics } from '@skylarkreach/core/ports';

import type {
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
  TargetResult,
} from '../experiment/index.js';
import { upperBoundTarget } from '../experiment/index.js';
import type { PlacementShape } from './placement-load.js';
import { PLACEMENT_SHAPES } from './placement-load.js';
import { PlacementPlay, PREFILL_TOKENS_PER_MS } from './placement-play.js';
import type { PlacementResults } from './placement-results.js';
import {
  LeastInFlightPlacement,
  TwoChoicesPlacement,
} from './plain-placements.js';

/** Rules by which a gateway's endpoints are chosen, and the plain ones that they are compared with. */
export enum PlacementWay {
  LeastInFlight = 'least in flight',
  TwoChoices = 'two random choices',
  LeastLatency = 'least latency',
  LeastWork = 'least work',
}

/** Sizes that are played, each for long enough that one late call is less than 0.1% of the calls. */
const SIZES = [
  { daemons: 9, durationMs: 60_000 },
  { daemons: 80, durationMs: 12_000 },
  { daemons: 300, durationMs: 12_000 },
];
const FULL_DURATION_FACTOR = 4;
const PERCENT = 100;

/** Creates the policy of one daemon; undefined stands for that of the pool. */
export function createPlacement(
  way: PlacementWay,
  random: Random,
  reports: LoadReports,
): PlacementPolicy | undefined {
  switch (way) {
    case PlacementWay.LeastInFlight:
      return new LeastInFlightPlacement(random);
    case PlacementWay.TwoChoices:
      return new TwoChoicesPlacement(random);
    case PlacementWay.LeastLatency:
      return undefined;
    case PlacementWay.LeastWork:
      return new LeastWorkPlacement({
        random,
        reports,
        metrics: noopMetrics,
        dataCentre: 'north-1',
        prefillTokensPerMs: PREFILL_TOKENS_PER_MS,
      });
  }
}

/** Compares the rules of a gateway by what callers get, each on the same calls. */
export async function runPlacements({
  full,
  seed,
}: ExperimentOptions): Promise<ExperimentReport> {
  const rows: ReportRow[] = [];
  const targets: TargetResult[] = [];
  for (const shape of PLACEMENT_SHAPES) {
    for (const { daemons, durationMs } of SIZES) {
      const lateShares = new Map<PlacementWay, number>();
      for (const way of Object.values(PlacementWay)) {
        const results = await new PlacementPlay({
          shape,
          daemons,
          durationMs: full ? durationMs * FULL_DURATION_FACTOR : durationMs,
          seed,
          createPolicy: (random, reports) =>
            createPlacement(way, random, reports),
        }).run();
        rows.push(reportRow(shape, daemons, way, results));
        lateShares.set(way, results.lateShare);
      }
      targets.push(...lateTargets(shape, daemons, lateShares));
    }
  }
  return { rows, targets };
}

function reportRow(
  shape: PlacementShape,
  daemons: number,
  way: PlacementWay,
  results: PlacementResults,
): ReportRow {
  return {
    deployment: `${shape.name}, ${daemons} daemons`,
    way,
    requests: results.calls,
    latePercent: toPercent(results.lateShare),
    firstEventP50Ms: results.firstEventMs(50),
    firstEventP95Ms: results.firstEventMs(95),
    endP95Ms: results.endMs(95),
    rejections: results.rejections,
    sharedTokensRead: results.sharedTokensRead,
  };
}

function lateTargets(
  shape: PlacementShape,
  daemons: number,
  lateShares: ReadonlyMap<PlacementWay, number>,
): readonly TargetResult[] {
  const late = (way: PlacementWay) => toPercent(lateShares.get(way) ?? 1);
  return Object.values(PlacementWay)
    .filter(way => way !== PlacementWay.LeastWork)
    .map(way =>
      upperBoundTarget(
        `${shape.name}, ${daemons} daemons: late with least work, ${way}`,
        late(PlacementWay.LeastWork),
        late(way),
        '%',
      ),
    );
}

function toPercent(share: number): number {
  return Number((share * PERCENT).toFixed(2));
}
