import { createHash } from 'node:crypto';

import { z } from 'zod';

import type { RuleFault } from '@skylarkreach/core/rules';
import {
  checkRules as findFaults,
  EditOutcome,
  FaultSeverity,
  hasErrors,
  removedLines,
} from '@skylarkreach/core/rules';

import type { OperatorAnswer, OperatorClient } from './operator-client.js';
import { CliError, CliExitCode, failureText } from './operator-client.js';
import type { CommonOptions } from './output.js';
import { confirm, printResult } from './output.js';
import type { RuleBase } from './rule-file.js';
import {
  baseFileOf,
  readBase,
  readRuleFile,
  writeRuleFile,
} from './rule-file.js';
import {
  describeConflicts,
  describeEdits,
  describeFaults,
} from './rule-views.js';

const rulesSchema = z.object({ revision: z.number(), text: z.string() });
const faultSchema = z.object({
  severity: z.enum(FaultSeverity),
  line: z.number(),
  column: z.number(),
  text: z.string(),
  message: z.string(),
  remedy: z.string(),
});
const editResultSchema = z.object({
  outcome: z.enum(EditOutcome),
  revision: z.number(),
  conflicts: z.array(
    z.object({
      line: z.number(),
      baseText: z.string(),
      currentText: z.string().optional(),
      editedText: z.string().optional(),
    }),
  ),
  faults: z.array(faultSchema),
});
const historySchema = z.object({
  edits: z.array(
    z.object({
      revision: z.number(),
      editId: z.string(),
      operator: z.string(),
      appliedAtMs: z.number(),
      added: z.array(z.string()),
      removed: z.array(z.string()),
    }),
  ),
});

export interface ShowOptions extends CommonOptions {
  /** File to write the rules to, for an edit. */
  readonly out?: string;
}

export interface CheckOptions extends CommonOptions {
  /** Check names against a daemon too. */
  readonly online?: boolean;
}

export interface ExplainOptions extends CommonOptions {
  readonly workspace?: string;
  readonly kind?: string;
}

/** Shows the rules in force, or writes them to a file for an edit. */
export async function showRules(
  client: OperatorClient,
  options: ShowOptions,
): Promise<void> {
  const rules = rulesSchema.parse(await client.callOk('GET', '/v1/rules'));
  if (options.out === undefined) {
    const text = `# Revision ${rules.revision} is in force.\n${rules.text}`;
    printResult(options, rules, text.trimEnd());
    return;
  }
  writeRuleFile(options.out, rules);
  const text = `Revision ${rules.revision} is written to ${options.out}; its base is in ${baseFileOf(options.out)}.`;
  printResult(options, { revision: rules.revision, file: options.out }, text);
}

/** Checks a rule file; exit 1 where it has faults. */
export async function checkRules(
  connect: () => OperatorClient,
  file: string,
  options: CheckOptions,
): Promise<void> {
  const text = readRuleFile(file);
  const faults =
    options.online === true
      ? await checkOnline(connect(), text)
      : findFaults(text);
  if (faults.length > 0) process.exitCode = CliExitCode.Refused;
  const summary =
    faults.length > 0 ? describeFaults(file, faults) : `${file}: no faults.`;
  printResult(options, { faults }, summary);
}

/** Shows which line a request of a workspace and kind takes. */
export async function explainRule(
  client: OperatorClient,
  options: ExplainOptions,
): Promise<void> {
  const { kind, workspace } = options;
  if (workspace === undefined || kind === undefined) {
    throw new CliError(
      'Describe the request with --workspace and --kind.',
      CliExitCode.Usage,
    );
  }
  const query = new URLSearchParams({ workspace, kind }).toString();
  const answer = await client.callOk('GET', `/v1/rules/explain?${query}`);
  const found = z
    .object({
      revision: z.number(),
      rule: z.object({ line: z.number() }).optional(),
      text: z.string().optional(),
    })
    .parse(answer);
  const text =
    found.rule === undefined
      ? `No line of revision ${found.revision} takes it; the request is refused.`
      : `Line ${found.rule.line} of revision ${found.revision}: ${found.text ?? ''}`;
  if (found.rule === undefined) process.exitCode = CliExitCode.Refused;
  printResult(options, answer, text);
}

/** Shows who changed which lines at which revision, newest first. */
export async function showHistory(
  client: OperatorClient,
  options: CommonOptions,
): Promise<void> {
  const answer = await client.callOk('GET', '/v1/rules/history');
  const { edits } = historySchema.parse(answer);
  printResult(options, { edits }, describeEdits(edits));
}

/** Merges a rule file into the rules in force and returns the revision that holds it. */
export async function applyRules(
  client: OperatorClient,
  file: string,
  options: CommonOptions,
): Promise<number> {
  const text = readRuleFile(file);
  const faults = findFaults(text);
  if (faults.length > 0) console.error(describeFaults(file, faults));
  if (hasErrors(faults)) {
    throw new CliError(
      'Nothing was changed; correct the lines that are named.',
      CliExitCode.Refused,
    );
  }
  const base = readBase(file) ?? (await currentBase(client));
  await confirmRemovals(base, text, options);
  const body = JSON.stringify({
    editId: editIdOf(base, text),
    text,
    baseRevision: base.revision,
    baseText: base.text,
  });
  const answer = await client.call('PUT', '/v1/rules', body);
  const { outcome, revision } = readEditResult(answer);
  const current = rulesSchema.parse(await client.callOk('GET', '/v1/rules'));
  if (current.revision >= revision) writeRuleFile(file, current);
  const verb = outcome === EditOutcome.Applied ? 'holds the edit' : 'unchanged';
  printResult(options, { outcome, revision }, `Revision ${revision} ${verb}.`);
  return revision;
}

/** Id of an edit: the same edit of the same base has the same id, so that a repeat is not applied twice. */
function editIdOf(base: RuleBase, text: string): string {
  return createHash('sha256')
    .update(JSON.stringify([base.revision, base.text, text]))
    .digest('base64url');
}

async function checkOnline(
  client: OperatorClient,
  text: string,
): Promise<readonly RuleFault[]> {
  const answer = await client.callOk('POST', '/v1/rules/check', text);
  return z.object({ faults: z.array(faultSchema) }).parse(answer).faults;
}

async function currentBase(client: OperatorClient): Promise<RuleBase> {
  return rulesSchema.parse(await client.callOk('GET', '/v1/rules'));
}

async function confirmRemovals(
  base: RuleBase,
  text: string,
  options: CommonOptions,
): Promise<void> {
  const removed = removedLines(base.text, text).filter(
    line => line.trim() !== '',
  );
  if (removed.length === 0) return;
  console.error(removed.map(line => `- ${line}`).join('\n'));
  const question = `Remove or replace ${removed.length} lines of revision ${base.revision}?`;
  if (await confirm(options, question)) return;
  throw new CliError(
    'Nothing was changed; add --yes to change lines without a question.',
    CliExitCode.Refused,
  );
}

function readEditResult(answer: OperatorAnswer) {
  const parsed = editResultSchema.safeParse(answer.body);
  if (!parsed.success) {
    throw new CliError(failureText(answer), CliExitCode.Refused);
  }
  const result = parsed.data;
  if (answer.status < 300) return result;
  const details = [
    failureText(answer),
    describeConflicts(result.conflicts),
    describeFaults('merged file', result.faults),
  ];
  throw new CliError(
    details.filter(text => text !== '').join('\n'),
    CliExitCode.Refused,
  );
}
