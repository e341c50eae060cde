import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
  TargetResult,
} from '../experiment/index.js';
import { lowerBoundTarget, upperBoundTarget } from '../experiment/index.js';
import { ClaimsVariant } from './claims-variant.js';
import { InterleavingRun } from './interleaving-run.js';
import type { LoadResult } from './load-run.js';
import { LoadRun } from './load-run.js';
import type { RunCounts } from './run-log.js';

const DEFAULT_INTERLEAVINGS = 2_500;
const FULL_INTERLEAVINGS = 25_000;
const DEFAULT_CLAIMS = 4_000;
const FULL_CLAIMS = 40_000;
const SEEDS_PER_RUN = 1_000_000;

const DAEMONS = 8;
const SHARDS = 32;
const WRITES_PER_SECOND = 200;
const CLAIMS_PER_SECOND = 1_000;

const MAX_WRITES_PER_SECOND = 300;
const MAX_ADDED_P95_MS = 570;

/** The variant whose figures are checked against the targets; the others are baselines. */
const TARGET_VARIANT = ClaimsVariant.Journal;

/**
 * Checks at-most-once execution under faults and measures the store writes and
 * the latency that claims add under load.
 */
export const claimsExperiment: Experiment = {
  name: 'claims',
  description: 'double runs, false notRun, journal writes and added latency',
  run: runClaims,
};

async function runClaims(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const rows: ReportRow[] = [];
  const targets: TargetResult[] = [];
  for (const variant of Object.values(ClaimsVariant)) {
    const counts = await runInterleavings(variant, options);
    rows.push(faultRow(variant, counts));
    if (variant === TARGET_VARIANT) targets.push(...faultTargets(counts));
  }
  for (const variant of Object.values(ClaimsVariant)) {
    const load = await runLoad(variant, options);
    rows.push(loadRow(variant, load));
    if (variant === TARGET_VARIANT) targets.push(...loadTargets(load));
  }
  return { rows, targets };
}

async function runInterleavings(
  variant: ClaimsVariant,
  options: ExperimentOptions,
): Promise<RunCounts> {
  const count = options.full ? FULL_INTERLEAVINGS : DEFAULT_INTERLEAVINGS;
  const results: RunCounts[] = [];
  for (let index = 0; index < count; index += 1) {
    const seed = options.seed * SEEDS_PER_RUN + index;
    results.push(await new InterleavingRun(variant, seed).run());
  }
  return results.reduce(addCounts);
}

function runLoad(
  variant: ClaimsVariant,
  options: ExperimentOptions,
): Promise<LoadResult> {
  return new LoadRun(variant, {
    seed: options.seed,
    daemons: DAEMONS,
    shards: SHARDS,
    writesPerSecond: WRITES_PER_SECOND,
    claimsPerSecond: CLAIMS_PER_SECOND,
    claims: options.full ? FULL_CLAIMS : DEFAULT_CLAIMS,
  }).run();
}

function addCounts(left: RunCounts, right: RunCounts): RunCounts {
  return {
    requests: left.requests + right.requests,
    ran: left.ran + right.ran,
    notRun: left.notRun + right.notRun,
    unknown: left.unknown + right.unknown,
    unanswered: left.unanswered + right.unanswered,
    serviceRuns: left.serviceRuns + right.serviceRuns,
    doubleRuns: left.doubleRuns + right.doubleRuns,
    falseNotRun: left.falseNotRun + right.falseNotRun,
    falseRan: left.falseRan + right.falseRan,
    refusedAfterRun: left.refusedAfterRun + right.refusedAfterRun,
  };
}

function faultRow(variant: ClaimsVariant, counts: RunCounts): ReportRow {
  return { way: variant, under: 'faults', ...counts };
}

function loadRow(variant: ClaimsVariant, load: LoadResult): ReportRow {
  return {
    way: variant,
    under: `${CLAIMS_PER_SECOND} claims a second`,
    ...load,
  };
}

function faultTargets(counts: RunCounts): readonly TargetResult[] {
  return [
    upperBoundTarget('double runs', counts.doubleRuns, 0, ''),
    upperBoundTarget('false notRun', counts.falseNotRun, 0, ''),
    upperBoundTarget('false ran', counts.falseRan, 0, ''),
    lowerBoundTarget('calls that ran under faults', counts.serviceRuns, 1, ''),
  ];
}

function loadTargets(load: LoadResult): readonly TargetResult[] {
  return [
    upperBoundTarget(
      'journal writes a second at a thousand claims a second',
      load.writesPerSecond,
      MAX_WRITES_PER_SECOND,
      '',
    ),
    upperBoundTarget(
      'added latency p95',
      load.addedP95Ms,
      MAX_ADDED_P95_MS,
      'ms',
    ),
    upperBoundTarget('claims that failed under load', load.failed, 0, ''),
  ];
}
