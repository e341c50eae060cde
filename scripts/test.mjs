import { spawnSync } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { join } from 'node:path';

import { prepare, root } from './prepare.mjs';

/** Time after which the runner fails a test that does not finish. */
const TEST_TIMEOUT_MS = 120_000;

/** Exit status where no test matches. */
const EXIT_NO_TESTS = 2;

prepare();
// Tests run as built, so that a path of the sources stands for that of their output.
const filter = (process.argv[2] ?? '')
  .replace(/(^|\/)src(\/|$)/, '$1dist$2')
  .replace(/\.ts$/, '.js');
const files = ['packages', 'platform']
  .flatMap(folder =>
    readdirSync(join(root, folder), { recursive: true }).map(file =>
      join(folder, file),
    ),
  )
  .filter(file => /^(packages\/[^/]+|platform)\/dist\/.*\.test\.js$/.test(file))
  .filter(file => file.includes(filter))
  .sort();
if (files.length === 0) {
  console.error(
    `No test's path contains '${filter}'; name a part of a path, such as 'forwarding'.`,
  );
  process.exit(EXIT_NO_TESTS);
}
const result = spawnSync(
  'node',
  [
    '--test',
    '--enable-source-maps',
    `--test-timeout=${TEST_TIMEOUT_MS}`,
    ...files,
  ],
  {
    cwd: root,
    stdio: 'inherit',
  },
);
process.exit(result.status ?? 1);
