import { readFileSync, writeFileSync } from 'node:fs';

import { z } from 'zod';

import { CliError, CliExitCode } from './operator-client.js';

const baseSchema = z.object({
  revision: z.int().nonnegative(),
  text: z.string(),
});

/** What a rule file was read from, kept beside it. */
export type RuleBase = z.output<typeof baseSchema>;

/** Name of the file that keeps the base of a rule file. */
export function baseFileOf(file: string): string {
  return `${file}.base`;
}

/** Text of a rule file. Throws `CliError`. */
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

/** The base of a rule file, or undefined where none is kept. */
export function readBase(file: string): RuleBase | undefined {
  try {
    const text = readFileSync(baseFileOf(file), 'utf8');
    return baseSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** Writes a rule file together with its base. */
export function writeRuleFile(file: string, base: RuleBase): void {
  writeFileSync(file, base.text);
  writeFileSync(baseFileOf(file), `${JSON.stringify(base)}\n`);
}
