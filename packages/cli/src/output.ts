import { createInterface } from 'node:readline/promises';

/** Options common to all commands. */
export interface CommonOptions {
  readonly address?: string;
  readonly json?: boolean;
  readonly yes?: boolean;
}

/** Prints `result` as JSON with `--json`, and `text` otherwise. */
export function printResult(
  options: CommonOptions,
  result: unknown,
  text: string,
): void {
  console.log(options.json === true ? JSON.stringify(result) : text);
}

/**
 * Asks for confirmation on the terminal. Returns true without asking under
 * `--yes`, and false where standard input is no terminal.
 */
export async function confirm(
  options: CommonOptions,
  question: string,
): Promise<boolean> {
  if (options.yes === true) return true;
  if (!process.stdin.isTTY) return false;
  const terminal = createInterface(process.stdin, process.stderr);
  const answer = await terminal.question(`${question} [y/N] `);
  terminal.close();
  return /^y(es)?$/i.test(answer.trim());
}
