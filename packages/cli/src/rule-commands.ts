import { createHash } from 'node:crypto';

import { z } from 'zod';

import type { RuleFault } from '@skylarkreach/core/rules';
import {
  checkRules as findRuleFaults,
  EditOutcome,
  FaultSeverity,
  hasErrors,
  removedLines,
} from '@skylarkreach/core/rules';

import type { OperatorClient, OperatorResponse } from './operator-client.js';
import { CliError, CliExitCode, describeFailure } from './operator-client.js';
import type { CommonOptions } from './output.js';
import { confirm, printResult } from './output.js';
import type { RuleBase } from './rule-file.js';
import {
  baseFilePath,
  readRuleBase,
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
  /** File to write the rules to for editing. */
  readonly out?: string;
}

export interface CheckOptions extends CommonOptions {
  /** Whether a daemon also checks the names that the rules use. */
  readonly online?: boolean;
}

export interface ExplainOptions extends CommonOptions {
  readonly workspace?: string;
  readonly kind?: string;
}

/** Prints the rules in force, or writes them to a file for editing. */
export async function showRules(
  client: OperatorClient,
  options: ShowOptions,
): Promise<void> {
  const rules = rulesSchema.parse(await client.callOrThrow('GET', '/v1/rules'));
  if (options.out === undefined) {
    const text = `# Revision ${rules.revision} is in force.\n${rules.text}`;
    printResult(options, rules, text.trimEnd());
    return;
  }
  writeRuleFile(options.out, rules);
  const text = `Revision ${rules.revision} is written to ${options.out}; its base is in ${baseFilePath(options.out)}.`;
  printResult(options, { revision: rules.revision, file: options.out }, text);
}

/** Checks a rule file; sets exit code 1 where it has faults. */
export async function checkRules(
  connect: () => OperatorClient,
  file: string,
  options: CheckOptions,
): Promise<void> {
  const text = readRuleFile(file);
  const faults =
    options.online === true
      ? await checkOnline(connect(), text)
      : findRuleFaults(text);
  if (faults.length > 0) process.exitCode = CliExitCode.Refused;
  const summary =
    faults.length > 0 ? describeFaults(file, faults) : `${file}: no faults.`;
  printResult(options, { faults }, summary);
}

/** Prints the line that matches a request of a workspace and kind; sets exit code 1 where none does. */
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
  const body = await client.callOrThrow('GET', `/v1/rules/explain?${query}`);
  const explanation = z
    .object({
      revision: z.number(),
      rule: z.object({ line: z.number() }).optional(),
      text: z.string().optional(),
    })
    .parse(body);
  const text =
    explanation.rule === undefined
      ? `No line of revision ${explanation.revision} matches the request; it is refused.`
      : `Line ${explanation.rule.line} of revision ${explanation.revision}: ${explanation.text ?? ''}`;
  if (explanation.rule === undefined) process.exitCode = CliExitCode.Refused;
  printResult(options, body, text);
}

/** Prints who changed which lines at which revision, newest first. */
export async function showHistory(
  client: OperatorClient,
  options: CommonOptions,
): Promise<void> {
  const body = await client.callOrThrow('GET', '/v1/rules/history');
  const { edits } = historySchema.parse(body);
  printResult(options, { edits }, describeEdits(edits));
}

/**
 * Merges a rule file into the rules in force and returns the resulting revision.
 * Throws `CliError` for faults, conflicts and declined confirmations.
 */
export async function applyRules(
  client: OperatorClient,
  file: string,
  options: CommonOptions,
): Promise<number> {
  const text = readRuleFile(file);
  const faults = findRuleFaults(text);
  if (faults.length > 0) console.error(describeFaults(file, faults));
  if (hasErrors(faults)) {
    throw new CliError(
      'Nothing was changed; correct the lines listed above.',
      CliExitCode.Refused,
    );
  }
  const base = readRuleBase(file) ?? (await fetchCurrentBase(client));
  await confirmRemovals(base, text, options);
  const body = JSON.stringify({
    editId: computeEditId(base, text),
    text,
    baseRevision: base.revision,
    baseText: base.text,
  });
  const response = await client.call('PUT', '/v1/rules', body);
  const { outcome, revision } = parseEditResult(response);
  const current = rulesSchema.parse(
    await client.callOrThrow('GET', '/v1/rules'),
  );
  if (current.revision >= revision) writeRuleFile(file, current);
  const outcomeText =
    outcome === EditOutcome.Applied ? 'contains the edit' : 'is unchanged';
  printResult(
    options,
    { outcome, revision },
    `Revision ${revision} ${outcomeText}.`,
  );
  return revision;
}

/** Derives the id of an edit from its base and text, so that a retry of the same edit is not applied twice. */
function computeEditId(base: RuleBase, text: string): string {
  return createHash('sha256')
    .update(JSON.stringify([base.revision, base.text, text]))
    .digest('base64url');
}

async function checkOnline(
  client: OperatorClient,
  text: string,
): Promise<readonly RuleFault[]> {
  const body = await client.callOrThrow('POST', '/v1/rules/check', text);
  return z.object({ faults: z.array(faultSchema) }).parse(body).faults;
}

async function fetchCurrentBase(client: OperatorClient): Promise<RuleBase> {
  return rulesSchema.parse(await client.callOrThrow('GET', '/v1/rules'));
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
    'Nothing was changed; add --yes to change lines without confirmation.',
    CliExitCode.Refused,
  );
}

/** Returns the result of an accepted edit. Throws `CliError` with conflicts and faults for a refused one. */
function parseEditResult(response: OperatorResponse) {
  const parsed = editResultSchema.safeParse(response.body);
  if (!parsed.success) {
    throw new CliError(describeFailure(response), CliExitCode.Refused);
  }
  const result = parsed.data;
  if (response.status < 300) return result;
  const details = [
    describeFailure(response),
    describeConflicts(result.conflicts),
    describeFaults('merged file', result.faults),
  ];
  throw new CliError(
    details.filter(text => text !== '').join('\n'),
    CliExitCode.Refused,
  );
}
