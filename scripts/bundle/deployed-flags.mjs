import { readFileSync } from 'node:fs';
import { join } from 'node:path';

import { root } from '../prepare.mjs';

const RUN_LINE = /^run = "node (.*) target\/skylarkreachd\.mjs /m;

/** Returns the flags of Node.js in the run line of the deploy file. */
export function deployedFlags() {
  const deployFile = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  return RUN_LINE.exec(deployFile)[1].split(' ');
}
