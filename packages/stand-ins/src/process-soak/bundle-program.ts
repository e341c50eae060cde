import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));

/** Bundles the daemon's program and returns its path. Throws an `Error` if that fails. */
export function bundleProgram(): string {
  const script = `${ROOT}/scripts/bundle.mjs`;
  const { status } = spawnSync(process.execPath, [script], {
    stdio: 'inherit',
  });
  if (status !== 0) throw new Error('The program could not be bundled.');
  return `${ROOT}/target/skylarkreachd.mjs`;
}
