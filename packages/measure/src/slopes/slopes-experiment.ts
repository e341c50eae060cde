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
  hintSizeProbe,
  hintTakeProbe,
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

const PAGE = new URL('../../../../docs/CAPACITY.md', import.meta.url);

/** Factor within which a fresh slope must agree with the page. */
const CHECK_FACTOR = 3;

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
  hintTakeProbe,
];

/** Cost slopes that the capacity page works with. */
export const slopesExperiment: Experiment = {
  name: 'slopes',
  description: 'cost a request, token, rule, change; --check compares the page',
  run: runSlopes,
};

async function runSlopes(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const rows: ReportRow[] = [];
  for (const probe of PROBES) rows.push(await slopeRow(probe, options.seed));
  const targets = options.check ? checkPage(rows) : [];
  return { rows, targets };
}

async function slopeRow(probe: Probe, seed: number): Promise<ReportRow> {
  const points = await probe.run(seed);
  const { intercept, slope, slopeError } = fitLine(points);
  const sizes = points.map(point => Math.round(point.x));
  return {
    slope: probe.name,
    figure: significant(slope),
    error: significant(slopeError),
    intercept: significant(intercept),
    unit: probe.unit,
    range: `${Math.min(...sizes)} to ${Math.max(...sizes)} ${probe.sizeName}`,
  };
}

/** Compares each slope with the page's row of the same name. */
function checkPage(rows: readonly ReportRow[]): TargetResult[] {
  const page = readFileSync(PAGE, 'utf8');
  return rows.map(row => {
    const name = String(row.slope);
    const figure = Number(row.figure);
    const written = pageFigure(page, name);
    const ratio = written === undefined ? NaN : figure / written;
    return {
      name: `${name} against the page`,
      target: `within a factor of ${CHECK_FACTOR} of ${written ?? 'a missing row'}`,
      figure,
      met: ratio <= CHECK_FACTOR && ratio >= 1 / CHECK_FACTOR,
    };
  });
}

/** Figure of the table row that starts with the slope's name. */
function pageFigure(page: string, name: string): number | undefined {
  const row = page
    .split('\n')
    .map(line => line.split('|').map(cell => cell.trim()))
    .find(cells => cells[1] === name);
  return row?.[2] === undefined ? undefined : Number(row[2]);
}

function significant(value: number): number {
  return Number(value.toPrecision(3));
}
