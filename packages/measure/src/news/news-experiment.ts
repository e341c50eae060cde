import { maxNewsAgeMs } from '@skylarkreach/core/hints/fakes';

import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
} from '../experiment/index.js';
import { upperBoundTarget } from '../experiment/index.js';

const SIZES: readonly number[] = [9, 64, 195, 300];
const MAX_AGE_MS = 2_000;
const MAX_ROUGH_AGE_MS = 4_000;
const CALM = { lostShare: 0, deafShare: 0 };
const ROUGH = { lostShare: 0.05, deafShare: 0.1 };

/** Way in which daemons tell one another of reads of the store. */
interface NewsRule {
  readonly name: string;
  readonly fanOut: number;
  readonly isPassedOn: boolean;
}

const TAKEN: NewsRule = { name: 'passed on, 4', fanOut: 4, isPassedOn: true };
const RULES: readonly NewsRule[] = [
  { name: 'own reads only, 4', fanOut: 4, isPassedOn: false },
  { name: 'passed on, 2', fanOut: 2, isPassedOn: true },
  TAKEN,
];

/** Measures how old news of reads gets at daemons that do not read the store; argues for decision 0013. */
export const newsExperiment: Experiment = {
  name: 'news',
  description:
    'age of the news of reads of the store at other daemons, by rule and size',
  run: options => Promise.resolve(runNews(options)),
};

function runNews({ seed }: ExperimentOptions): ExperimentReport {
  const rows: ReportRow[] = [];
  let takenMs = 0;
  let takenRoughMs = 0;
  for (const daemons of SIZES) {
    for (const rule of RULES) {
      const { fanOut, isPassedOn } = rule;
      const play = { daemons, fanOut, isPassedOn, seed };
      const calmMs = maxNewsAgeMs({ ...play, ...CALM });
      const roughMs = maxNewsAgeMs({ ...play, ...ROUGH });
      rows.push({ daemons, rule: rule.name, calmMs, roughMs });
      if (rule !== TAKEN) continue;
      takenMs = Math.max(takenMs, calmMs);
      takenRoughMs = Math.max(takenRoughMs, roughMs);
    }
  }
  return {
    targets: [
      upperBoundTarget('age at any daemon', takenMs, MAX_AGE_MS, 'ms'),
      upperBoundTarget(
        'age with lost messages and deaf daemons',
        takenRoughMs,
        MAX_ROUGH_AGE_MS,
        'ms',
      ),
    ],
    rows,
  };
}
