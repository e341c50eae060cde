import { readFileSync } from 'node:fs';

import { z } from 'zod';

import type { RuleFault } from '@skylarkreach/core/rules';
import { parseRules } from '@skylarkreach/core/rules';

import type { OperatorClient } from './operator-client.js';
import { CliError, CliExitCode, failureText } from './operator-client.js';
import type { CommonOptions } from './output.js';
import { confirm, printResult } from './output.js';

const rulesSchema = z.object({ revision: z.number(), text: z.string() });
const appliedSchema = z.object({ revision: z.number() });

/** Shows the rules in force and their revision. */
export async function showRules(
  client: OperatorClient,
  options: CommonOptions,
): Promise<void> {
  const rules = rulesSchema.parse(await client.callOk('GET', '/v1/rules'));
  const text = `# Revision ${rules.revision} is in force.\n${rules.text}`;
  printResult(options, rules, text.trimEnd());
}

/** Checks a rule file without sending it anywhere. */
export function checkRules(file: string, options: CommonOptions): void {
  const { faults, rules } = parseRules(readRuleFile(file));
  if (faults.length > 0) {
    printResult(options, { faults }, describeFaults(file, faults));
    process.exitCode = CliExitCode.Refused;
    return;
  }
  const text = `${file}: ${rules.length} rules, no faults.`;
  printResult(options, { faults, rules: rules.length }, text);
}

/** Puts a rule file in force, after showing which lines change. */
export async function applyRules(
  client: OperatorClient,
  file: string,
  options: CommonOptions,
): Promise<void> {
  const text = readRuleFile(file);
  const { faults } = parseRules(text);
  if (faults.length > 0) {
    throw new CliError(describeFaults(file, faults), CliExitCode.Refused);
  }
  const current = rulesSchema.parse(await client.callOk('GET', '/v1/rules'));
  const removed = removedLines(current.text, text);
  if (removed.length > 0) {
    console.error(removed.map(line => `- ${line}`).join('\n'));
    const question = `Remove ${removed.length} lines of revision ${current.revision}?`;
    if (!(await confirm(options, question))) {
      throw new CliError(
        'Nothing was changed; add --yes to remove lines without a question.',
        CliExitCode.Refused,
      );
    }
  }
  const body = JSON.stringify({ text, baseRevision: current.revision });
  const answer = await client.call('PUT', '/v1/rules', body);
  if (answer.status >= 300) {
    throw new CliError(failureText(answer), CliExitCode.Refused);
  }
  const applied = appliedSchema.parse(answer.body);
  printResult(options, applied, `Revision ${applied.revision} is in force.`);
}

function readRuleFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new CliError(
      `${file} cannot be read (${String(error)}). Check the path.`,
      CliExitCode.Usage,
    );
  }
}

function removedLines(before: string, after: string): string[] {
  const kept = new Set(after.split('\n'));
  return before
    .split('\n')
    .filter(line => line.trim() !== '' && !kept.has(line));
}

function describeFaults(file: string, faults: readonly RuleFault[]): string {
  return faults
    .map(
      fault =>
        `${file}:${fault.line}:${fault.column}: ${fault.message} ${fault.remedy}\n  ${fault.text}`,
    )
    .join('\n');
}
