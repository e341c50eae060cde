import sade from 'sade';

import type { ConfigurationOptions } from './configuration-command.js';
import { checkConfigurationFile } from './configuration-command.js';
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

/** Runs the command that `argv` names and sets the exit code of the process. */
export async function runProgram(argv: readonly string[]): Promise<void> {
  const program = sade('skylarkreach')
    .option('--address', 'Operators’ address of a daemon, as IP:PORT')
    .option('--json', 'Print the result as JSON')
    .option('--yes', 'Confirm every question');
  addRuleCommands(program);
  addStateCommands(program);
  addMoveCommands(program);
  addConfigurationCommand(program);
  try {
    const parsed = parseCommand(program, argv);
    await parsed?.handler(...parsed.args);
  } catch (error) {
    if (!(error instanceof CliError)) throw error;
    console.error(error.message);
    process.exitCode = error.exitCode;
  }
}

/** Returns undefined after help was printed. Throws `CliError` for an unknown option. */
function parseCommand(
  program: sade.Sade,
  argv: readonly string[],
): sade.LazyOutput | undefined {
  // sade ends the process with status 1 after it has printed a usage error.
  const onExit = () => {
    process.exitCode = CliExitCode.Usage;
  };
  process.once('exit', onExit);
  try {
    return program.parse([...argv], {
      lazy: true,
      unknown: option => {
        throw new CliError(
          `The command has no option ${option}; run it with --help.`,
          CliExitCode.Usage,
        );
      },
    });
  } finally {
    process.off('exit', onExit);
  }
}

function addRuleCommands(program: sade.Sade): void {
  program
    .command('rules show')
    .describe('Show the rules in force and their revision.')
    .option('--out', 'Write them to a file for editing')
    .example('rules show --out rules.txt')
    .action((options: ShowOptions) =>
      showRules(createClient(options), options),
    );
  program
    .command('rules check <file>')
    .describe('Check a rule file; exits 1 if it has faults.')
    .option('--online', 'Also check names against a daemon')
    .example('rules check rules.txt')
    .action((file: string, options: CheckOptions) =>
      checkRules(() => createClient(options), file, options),
    );
  program
    .command('rules explain')
    .describe('Show which line matches a request; exits 1 if none does.')
    .option('--workspace', 'Workspace of the request')
    .option('--kind', 'Kind of the request')
    .example('rules explain --workspace northside --kind lookup')
    .action((options: ExplainOptions) =>
      explainRule(createClient(options), options),
    );
  program
    .command('rules history')
    .describe('Show who changed which lines at which revision.')
    .action((options: CommonOptions) =>
      showHistory(createClient(options), options),
    );
  program
    .command('rules apply <file>')
    .describe('Merge a rule file into the rules; asks before removing lines.')
    .option('--wait', 'Wait until every live daemon reports the revision')
    .option('--wait-seconds', 'Maximum wait in seconds', 30)
    .example('rules apply rules.txt --wait')
    .action(async (file: string, options: WaitOptions) => {
      const client = createClient(options);
      const revision = await applyRules(client, file, options);
      if (options.wait === true) {
        await waitForRevision(client, revision, options);
      }
    });
}

function addStateCommands(program: sade.Sade): void {
  program
    .command('status')
    .describe(
      'Show whether the daemon is serving and which revision is in force.',
    )
    .action(async (options: CommonOptions) => {
      const status = await createClient(options).callOrThrow(
        'GET',
        '/v1/status',
      );
      printResult(options, status, JSON.stringify(status, undefined, 2));
    });
  program
    .command('dump <address>')
    .describe('Print the state of the daemon at an operators’ address.')
    .example('dump 10.0.2.4:8081')
    .action(async (address: string, options: CommonOptions) => {
      const client = createClient({ ...options, address });
      const dump = await client.callOrThrow('GET', '/v1/dump');
      printResult(options, dump, JSON.stringify(dump, undefined, 2));
    });
}

function addMoveCommands(program: sade.Sade): void {
  program
    .command('moves show')
    .describe('Show the latest move of each group.')
    .action((options: CommonOptions) =>
      showMoves(createClient(options), options),
    );
  program
    .command('moves start <line>')
    .describe('Start the move that a line describes.')
    .example(
      'moves start "group=ruling-model from=v1 to=v2 deadline=2030-01-31T09:30:00Z # operations, newer weights"',
    )
    .action((line: string, options: CommonOptions) =>
      startMove(createClient(options), line, options),
    );
  program
    .command('moves stop <group>')
    .describe('Roll back a running move; asks for confirmation first.')
    .action((group: string, options: CommonOptions) =>
      stopMove(createClient(options), group, options),
    );
  program
    .command('moves wait <group>')
    .describe(
      'Wait until a move ends; exits 0 if it is done, 4 if rolled back.',
    )
    .action((group: string, options: CommonOptions) =>
      waitForMove(createClient(options), group, options),
    );
}

function addConfigurationCommand(program: sade.Sade): void {
  program
    .command('check <file>')
    .describe([
      'Check a gateway configuration; exits 1 if it has faults.',
      'Reports what daemons refuse, entries that can never match and limits that contradict each other. Reads files alone: no daemon is called, nothing is written.',
    ])
    .option('--against', 'File with the version in force, to list differences')
    .option('--regions', 'Regions with data centres, separated by commas')
    .example('check next.json --against in-force.json')
    .example('check next.json --regions north,south --json')
    .action((file: string, options: ConfigurationOptions) => {
      checkConfigurationFile(file, options);
    });
}

/** Returns a client of the daemon that the options or the environment name. Throws `CliError` without a token. */
function createClient(options: CommonOptions): OperatorClient {
  const address =
    options.address ?? process.env.SKYLARKREACH_ADDRESS ?? DEFAULT_ADDRESS;
  const token = process.env.SKYLARKREACH_TOKEN;
  if (token === undefined) {
    throw new CliError(
      'No operator credential is set; set the environment variable SKYLARKREACH_TOKEN.',
      CliExitCode.Usage,
    );
  }
  return new OperatorClient(address, token);
}
