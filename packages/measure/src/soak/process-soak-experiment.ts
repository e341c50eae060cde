import {
  bundleProgram,
  ProcessSoak,
  SoakProfile,
} from '@skylarkreach/stand-ins';

import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
} from '../experiment/index.js';
import { upperBoundTarget } from '../experiment/index.js';

const DURATION_MS = 12_000;
const PROFILES: readonly string[] = Object.values(SoakProfile);

/** Runs gateway daemons as processes under the faults of `--profile`, once for each of `--seeds` from `--seed` on. */
export const processSoakExperiment: Experiment = {
  name: 'processSoak',
  description: 'promises broken by daemon processes under overlapping faults',
  run: runProcessSoak,
};

async function runProcessSoak({
  extra,
  seed: firstSeed,
}: ExperimentOptions): Promise<ExperimentReport> {
  const seeds = Number(extra.seeds ?? 1);
  if (!Number.isSafeInteger(seeds) || seeds < 1)
    throw new RangeError(
      `"${extra.seeds ?? ''}" is not a number of seeds; set --seeds to 1 or more.`,
    );
  const profile = parseProfile(extra.profile);
  const program = bundleProgram();
  const rows: ReportRow[] = [];
  let broken = 0;
  for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
    const outcome = await new ProcessSoak(seed, program, profile).run(
      DURATION_MS,
    );
    const { acts, crossings, requests, statuses, violations } = outcome;
    for (const violation of violations) console.error(violation);
    broken += violations.length;
    rows.push({
      seed,
      requests,
      crossings,
      statuses: JSON.stringify(statuses),
      acts: JSON.stringify(acts),
      failed: violations.map(text => text.split('\n')[0]).join('; '),
    });
    console.error(
      `seed ${seed}: ${requests} requests, ${violations.length} violations`,
    );
  }
  const targets = [upperBoundTarget('broken promises', broken, 0, 'requests')];
  return { rows, targets };
}

/** Throws `RangeError` if there is no profile of that name. */
function parseProfile(name: string = SoakProfile.All): SoakProfile {
  if (isProfile(name)) return name;
  throw new RangeError(
    `"${name}" is not a profile; set --profile to one of ${PROFILES.join(', ')}.`,
  );
}

function isProfile(name: string): name is SoakProfile {
  return PROFILES.includes(name);
}
