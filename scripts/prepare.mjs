import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** Absolute path of the repository root. */
export const root = fileURLToPath(new URL('..', import.meta.url));

/** Runs a command in the repository root; exits the process with `failureCode` if the command fails. */
export function run(command, args, failureCode = 1) {
  const result = spawnSync(command, args, { cwd: root, stdio: 'inherit' });
  if (result.status !== 0) process.exit(failureCode);
}

/** Installs the dependencies if they are missing, then builds the changed projects. */
export function prepare(failureCode = 1) {
  if (!existsSync(`${root}/node_modules/typescript`)) {
    run('npm', ['ci', '--no-audit', '--no-fund'], failureCode);
  }
  run('node', ['node_modules/typescript/bin/tsc', '-b'], failureCode);
}
