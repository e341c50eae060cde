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

/** Tests that measure a whole process run one after the other, after all others. */
const isRunAlone = file => file.endsWith('.alone.test.js');

/** Runs test files and returns the exit status; `options` are further ones of the runner. */
function run(testFiles, options = []) {
  if (testFiles.length === 0) return 0;
  const result = spawnSync(
    'node',
    [
      '--test',
      '--enable-source-maps',
      `--test-timeout=${TEST_TIMEOUT_MS}`,
      ...options,
      ...testFiles,
    ],
    { cwd: root, stdio: 'inherit' },
  );
  return result.status ?? 1;
}

const status = run(files.filter(file => !isRunAlone(file)));
const statusAlone = run(files.filter(isRunAlone), ['--test-concurrency=1']);
process.exit(status || statusAlone);
