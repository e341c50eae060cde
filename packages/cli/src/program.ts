import sade from 'sade';

import {
  showMoves,
  startMove,
  stopMove,
  waitForMove,
} from './move-commands.js';
import { CliError, CliExitCode, OperatorClient } from './operator-client.js';
import type { CommonOptions } from './output.js';
import { printResult } from './output.js';
import type {
  CheckOptions,
  ExplainOptions,
  ShowOptions,
} from './rule-commands.js';
import {
  applyRules,
  checkRules,
  explainRule,
  showHistory,
  showRules,
} from './rule-commands.js';
import type { WaitOptions } from './wait-command.js';
import { waitForRevision } from './wait-command.js';

const DEFAULT_ADDRESS = '127.0.0.1:8081';

/** Runs the command line and sets the process's exit code. */
export async function runProgram(argv: readonly string[]): Promise<void> {
  const program = sade('skylarkreach')
    .option('--address', 'Operators’ address of a daemon, as IP:PORT')
    .option('--json', 'Print JSON for programs')
    .option('--yes', 'Answer yes to every question');
  addRuleCommands(program);
  addStateCommands(program);
  addMoveCommands(program);
  // The library returns nothing where it has printed help or a usage error.
  const parsed = program.parse([...argv], { lazy: true }) as
    sade.LazyOutput | undefined;
  if (parsed === undefined) return;
  try {
    await parsed.handler(...parsed.args);
  } catch (error) {
    if (!(error instanceof CliError)) throw error;
    console.error(error.message);
    process.exitCode = error.exitCode;
  }
}

function addRuleCommands(program: sade.Sade): void {
  program
    .command('rules show')
    .describe('Show the rules in force and their revision.')
    .option('--out', 'Write them to a file for an edit')
    .example('rules show --out rules.txt')
    .action((options: ShowOptions) => showRules(connect(options), options));
  program
    .command('rules check <file>')
    .describe('Check a rule file; exit 1 where it has faults.')
    .option('--online', 'Check names against a daemon too')
    .example('rules check rules.txt')
    .action((file: string, options: CheckOptions) =>
      checkRules(() => connect(options), file, options),
    );
  program
    .command('rules explain')
    .describe('Show which line a request takes; exit 1 where none does.')
    .option('--workspace', 'Workspace of the request')
    .option('--kind', 'Kind of the request')
    .example('rules explain --workspace northside --kind lookup')
    .action((options: ExplainOptions) =>
      explainRule(connect(options), options),
    );
  program
    .command('rules history')
    .describe('Show who changed which lines at which revision.')
    .action((options: CommonOptions) => showHistory(connect(options), options));
  program
    .command('rules apply <file>')
    .describe('Merge a rule file into the rules; asks before it removes lines.')
    .option('--wait', 'Wait until every live daemon reports the revision')
    .option('--wait-seconds', 'Longest wait in seconds', 30)
    .example('rules apply rules.txt --wait')
    .action(async (file: string, options: WaitOptions) => {
      const client = connect(options);
      const revision = await applyRules(client, file, options);
      if (options.wait === true) {
        await waitForRevision(client, revision, options);
      }
    });
}

function addStateCommands(program: sade.Sade): void {
  program
    .command('status')
    .describe('Show whether the daemon serves and which revision is in force.')
    .action(async (options: CommonOptions) => {
      const status = await connect(options).callOk('GET', '/v1/status');
      printResult(options, status, JSON.stringify(status, undefined, 2));
    });
  program
    .command('dump <address>')
    .describe('Print the state of the daemon at an operators’ address.')
    .example('dump 10.0.2.4:8081')
    .action(async (address: string, options: CommonOptions) => {
      const client = connect({ ...options, address });
      const dump = await client.callOk('GET', '/v1/dump');
      printResult(options, dump, JSON.stringify(dump, undefined, 2));
    });
}

function addMoveCommands(program: sade.Sade): void {
  program
    .command('moves show')
    .describe('Show the newest move of every group.')
    .action((options: CommonOptions) => showMoves(connect(options), options));
  program
    .command('moves start <line>')
    .describe('Start a move by its line.')
    .example(
      'moves start "group=ruling-model from=v1 to=v2 deadline=2030-01-31T09:30:00Z # operations, newer weights"',
    )
    .action((line: string, options: CommonOptions) =>
      startMove(connect(options), line, options),
    );
  program
    .command('moves stop <group>')
    .describe('Take a running move back; asks first.')
    .action((group: string, options: CommonOptions) =>
      stopMove(connect(options), group, options),
    );
  program
    .command('moves wait <group>')
    .describe('Wait for the end: exit 0 done, 4 taken back.')
    .action((group: string, options: CommonOptions) =>
      waitForMove(connect(options), group, options),
    );
}

/** A client of the daemon that the options or the environment name. */
function connect(options: CommonOptions): OperatorClient {
  const address =
    options.address ?? process.env.SKYLARKREACH_ADDRESS ?? DEFAULT_ADDRESS;
  const token = process.env.SKYLARKREACH_TOKEN;
  if (token === undefined) {
    throw new CliError(
      'No operator credential is set; put it into SKYLARKREACH_TOKEN.',
      CliExitCode.Usage,
    );
  }
  return new OperatorClient(address, token);
}
