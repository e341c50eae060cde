import sade from 'sade';

import type { Experiment, ExperimentOptions } from './experiment/index.js';
import { EXPERIMENTS } from './registry.js';

enum ExitCode {
  Met = 0,
  Missed = 1,
  CouldNotRun = 2,
}

interface Flags {
  readonly seed: number;
  readonly full?: boolean;
  readonly check?: boolean;
  readonly [name: string]: unknown;
}

const DEFAULT_SEED = 1;

/** Runs the experiment named on the command line and sets the exit code: 0 if all targets are met, 1 if one is missed, 2 if the experiment could not run. */
export async function runProgram(argv: readonly string[]): Promise<void> {
  const names = EXPERIMENTS.map(experiment => experiment.name).join(', ');
  const program = sade('measure <name>', true)
    .describe(`Runs an experiment: ${names}.`)
    .option('--seed', 'Seed of the run', DEFAULT_SEED)
    .option('--full', 'Run at full size')
    .option('--check', 'Compare the results with the documented figures')
    .action((name: string, flags: Flags) => runByName(name, flags));
  const parsed = program.parse([...argv], { lazy: true }) as
    sade.LazyOutput | undefined;
  if (parsed !== undefined) await parsed.handler(...parsed.args);
}

async function runByName(name: string, flags: Flags): Promise<void> {
  const experiment = EXPERIMENTS.find(candidate => candidate.name === name);
  if (experiment === undefined) {
    console.error(`Unknown experiment "${name}"; see --help for the list.`);
    process.exitCode = ExitCode.CouldNotRun;
    return;
  }
  try {
    await runExperiment(experiment, parseOptions(flags));
  } catch (error) {
    console.error(error);
    process.exitCode = ExitCode.CouldNotRun;
  }
}

async function runExperiment(
  experiment: Experiment,
  options: ExperimentOptions,
): Promise<void> {
  const report = await experiment.run(options);
  console.table(report.rows);
  console.table(report.targets);
  const { name } = experiment;
  console.log(JSON.stringify({ name, seed: options.seed, ...report }));
  const isMet = report.targets.every(target => target.met);
  process.exitCode = isMet ? ExitCode.Met : ExitCode.Missed;
}

function parseOptions(flags: Flags): ExperimentOptions {
  const extra = Object.entries(flags)
    .filter(
      ([, value]) => typeof value === 'string' || typeof value === 'number',
    )
    .map(([name, value]) => [name, String(value)] as const);
  return {
    seed: flags.seed,
    full: flags.full === true,
    check: flags.check === true,
    extra: Object.fromEntries(extra),
  };
}
