import { readFileSync, writeFileSync } from 'node:fs';

import { z } from 'zod';

import { CliError, CliExitCode } from './operator-client.js';

const baseSchema = z.object({
  revision: z.int().nonnegative(),
  text: z.string(),
});

/** Revision and text that an edit of a rule file starts from: the base of the three-way merge. */
export type RuleBase = z.output<typeof baseSchema>;

/** Returns the path of the file that stores the base, next to the rule file. */
export function baseFilePath(file: string): string {
  return `${file}.base`;
}

/** Returns the text of a rule file. Throws `CliError` where it cannot be read. */
export function readRuleFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new CliError(
      `${file} cannot be read (${String(error)}). Check the path.`,
      CliExitCode.Usage,
    );
  }
}

/** Returns the base of a rule file, or undefined where none is stored or it cannot be parsed. */
export function readRuleBase(file: string): RuleBase | undefined {
  try {
    const text = readFileSync(baseFilePath(file), 'utf8');
    return baseSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** Writes a rule file together with its base. */
export function writeRuleFile(file: string, base: RuleBase): void {
  writeFileSync(file, base.text);
  writeFileSync(baseFilePath(file), `${JSON.stringify(base)}\n`);
}
