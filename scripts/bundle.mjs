import { spawnSync } from 'node:child_process';
import {
  chmodSync,
  mkdirSync,
  readdirSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { basename, join } from 'node:path';

import { build } from 'esbuild';

import { deployedFlags } from './bundle/deployed-flags.mjs';
import {
  replacedModule,
  requiredBuiltins,
  separateBundle,
  usedParts,
  workspaceSources,
} from './bundle/plugins.mjs';
import { root } from './prepare.mjs';

const SOURCES = join(root, 'packages/daemon/src');
const SCRIPTS = join(root, 'scripts/bundle');
const TARGET = join(root, 'target');
const LOADER = join(TARGET, 'skylarkreachd.mjs');
/** Programs and code caches, whose names contain a hash of the program, so that no loader or program reads those of another build. */
const PROGRAM_FILES =
  /^skylarkreachd-(daemon-\w{8}\.mjs|daemon\.mjs|\w{8}\.js)/;

const options = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  legalComments: 'none',
};

/** Bundles into one file, which takes the place of an earlier one at once, as a process may be reading that. Returns its path. */
async function bundle(bundleOptions) {
  const { outputFiles } = await build({
    ...options,
    ...bundleOptions,
    write: false,
  });
  const [{ contents, path }] = outputFiles;
  const temporaryPath = `${path}.${process.pid}`;
  writeFileSync(temporaryPath, contents);
  chmodSync(temporaryPath, 0o755);
  renameSync(temporaryPath, path);
  return path;
}

/** Bundles the front that gateways do not load, as an ES module. Returns its file. */
async function bundleDaemon() {
  return bundle({
    entryPoints: { 'skylarkreachd-daemon': join(SOURCES, 'daemon.ts') },
    entryNames: '[name]-[hash]',
    outdir: TARGET,
    outExtension: { '.js': '.mjs' },
    // Bundled CommonJS libraries call `require` for built-in modules of Node.js, which ES modules lack.
    banner: {
      js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
    },
    plugins: [usedParts, workspaceSources],
  });
}

/** Bundles the program as a script that evaluates to an async function, as Node.js has no code cache for ES modules. Returns its file. */
async function bundleProgram(daemonBundle) {
  return bundle({
    entryPoints: { skylarkreachd: join(SCRIPTS, 'program-entry.mjs') },
    entryNames: '[name]-[hash]',
    outdir: TARGET,
    banner: { js: '(async (require, program) => {' },
    footer: { js: '})' },
    plugins: [
      separateBundle(join(SOURCES, 'daemon.ts'), basename(daemonBundle)),
      usedParts,
      requiredBuiltins,
      workspaceSources,
    ],
  });
}

/** Bundles the loader, which listens to signals before it loads the program. */
async function bundleLoader(program) {
  await bundle({
    entryPoints: [join(SOURCES, 'main.ts')],
    outfile: LOADER,
    define: {
      'process.env.PROGRAM_FILE': JSON.stringify(`./${basename(program)}`),
    },
    plugins: [
      replacedModule(
        join(SOURCES, 'program.ts'),
        join(SCRIPTS, 'load-program.mjs'),
      ),
    ],
  });
}

/** Writes the code cache under the deployed flags, as V8 accepts it under no others. The program runs without it too, so that a failure does not end the build. */
function writeCodeCache(program) {
  const script = join(SCRIPTS, 'write-code-cache.mjs');
  const { status, stderr } = spawnSync(
    process.execPath,
    [...deployedFlags(), script, program],
    { encoding: 'utf8' },
  );
  if (status === 0) return;
  console.warn(`The code cache was not written: ${stderr.slice(-1_000)}`);
}

/** Removes the programs of other builds, with their code caches. */
function removeOtherPrograms(...files) {
  for (const name of readdirSync(TARGET)) {
    const isOther = files.every(file => !name.startsWith(basename(file)));
    if (isOther && PROGRAM_FILES.test(name)) rmSync(join(TARGET, name));
  }
}

mkdirSync(TARGET, { recursive: true });
const daemon = await bundleDaemon();
const program = await bundleProgram(daemon);
await bundleLoader(program);
removeOtherPrograms(program, daemon);
writeCodeCache(program);
