import { spawnSync } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { join } from 'node:path';

import { prepare, root } from './prepare.mjs';

/** Time after which the runner fails a test that does not finish. */
const TEST_TIMEOUT_MS = 120_000;

prepare();
const filter = process.argv[2] ?? '';
const files = ['packages', 'platform']
  .flatMap(folder =>
    readdirSync(join(root, folder), { recursive: true }).map(file =>
      join(folder, file),
    ),
  )
  .filter(file => /^(packages\/[^/]+|platform)\/dist\/.*\.test\.js$/.test(file))
  .filter(file => file.includes(filter))
  .sort();
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
