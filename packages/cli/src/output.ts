import { createInterface } from 'node:readline/promises';

/** Options that every command takes. */
export interface CommonOptions {
  readonly address?: string;
  readonly json?: boolean;
  readonly yes?: boolean;
}

/** Prints a result as JSON for programs or as text for people. */
export function printResult(
  options: CommonOptions,
  result: unknown,
  text: string,
): void {
  console.log(options.json === true ? JSON.stringify(result) : text);
}

/** Asks for a yes on the terminal; `--yes` answers it, and no terminal means no. */
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
