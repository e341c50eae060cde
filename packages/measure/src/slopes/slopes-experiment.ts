import { readFileSync } from 'node:fs';

import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
  TargetResult,
} from '../experiment/index.js';
import { fitLine } from '../experiment/index.js';
import {
  endpointChoiceProbe,
  gatewayEventProbe,
  gatewayRequestProbe,
  hintAddProbe,
  hintSizeProbe,
} from './gateway-probes.js';
import { moveCoordinatorProbe, moveReportProbe } from './move-probes.js';
import { requestProbe, tokenProbe } from './path-probes.js';
import type { Probe } from './probe.js';
import {
  ruleChangeProbe,
  ruleMatchProbe,
  ruleMemoryProbe,
  ruleSizeProbe,
} from './rule-probes.js';

const CAPACITY_PAGE_URL = new URL(
  '../../../../docs/CAPACITY.md',
  import.meta.url,
);

/** Largest factor by which a measured slope may differ from the capacity page. */
const MAX_DEVIATION_FACTOR = 3;

const PROBES: readonly Probe[] = [
  requestProbe,
  tokenProbe,
  ruleMatchProbe,
  ruleChangeProbe,
  ruleMemoryProbe,
  ruleSizeProbe,
  moveCoordinatorProbe,
  moveReportProbe,
  gatewayRequestProbe,
  gatewayEventProbe,
  endpointChoiceProbe,
  hintSizeProbe,
  hintAddProbe,
];

/** Measures the cost slopes that the capacity page uses. */
export const slopesExperiment: Experiment = {
  name: 'slopes',
  description:
    'cost per request, token, rule and change; --check compares them with the capacity page',
  run: runSlopes,
};

async function runSlopes(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const rows: ReportRow[] = [];
  for (const probe of PROBES)
    rows.push(await measureSlope(probe, options.seed));
  const targets = options.check ? compareWithPage(rows) : [];
  return { rows, targets };
}

async function measureSlope(probe: Probe, seed: number): Promise<ReportRow> {
  const points = await probe.run(seed);
  const { intercept, slope, slopeError } = fitLine(points);
  const sizes = points.map(point => Math.round(point.x));
  return {
    slope: probe.name,
    figure: roundToThreeDigits(slope),
    error: roundToThreeDigits(slopeError),
    intercept: roundToThreeDigits(intercept),
    unit: probe.unit,
    range: `${Math.min(...sizes)} to ${Math.max(...sizes)} ${probe.sizeName}`,
  };
}

/** Compares each slope with the row of the same name on the capacity page. */
function compareWithPage(rows: readonly ReportRow[]): TargetResult[] {
  const page = readFileSync(CAPACITY_PAGE_URL, 'utf8');
  return rows.map(row => {
    const name = String(row.slope);
    const figure = Number(row.figure);
    const documented = findPageFigure(page, name);
    const ratio = documented === undefined ? NaN : figure / documented;
    return {
      name: `${name} against the page`,
      target: `within a factor of ${MAX_DEVIATION_FACTOR} of ${documented ?? 'a missing row'}`,
      figure,
      met: ratio <= MAX_DEVIATION_FACTOR && ratio >= 1 / MAX_DEVIATION_FACTOR,
    };
  });
}

/** Returns the value in the table row that starts with the slope's name. */
function findPageFigure(page: string, name: string): number | undefined {
  const row = page
    .split('\n')
    .map(line => line.split('|').map(cell => cell.trim()))
    .find(cells => cells[1] === name);
  return row?.[2] === undefined ? undefined : Number(row[2]);
}

function roundToThreeDigits(value: number): number {
  return Number(value.toPrecision(3));
}
