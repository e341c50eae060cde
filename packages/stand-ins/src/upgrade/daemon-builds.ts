import { execFileSync } from 'node:child_process';
import {
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  rmSync,
} from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Build beside which the present one must run. */
export interface EarlierBuild {
  readonly name: string;
  readonly commit: string;
}

/** The last landing that changed the program. */
const PRODUCTION_COMMIT = 'b7d6e65';
/** The landing before; a deployment may skip one. */
const OLDER_COMMIT = 'abb8baf';

export const PRODUCTION: EarlierBuild = {
  name: 'build in production',
  commit: PRODUCTION_COMMIT,
};
export const OLDER: EarlierBuild = {
  name: 'build before the one in production',
  commit: OLDER_COMMIT,
};

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const TARGET = join(ROOT, 'target');
const PROGRAM = 'skylarkreachd.mjs';
/** Start of the names of the program's files. */
const PROGRAM_PREFIX = 'skylarkreachd';
const BUNDLED_PATHS = [
  'deploy',
  'packages',
  'platform',
  'scripts',
  'tsconfig.base.json',
];

/** Bundled programs of an earlier build and of this checkout. */
export interface DaemonBuilds {
  readonly earlier: string;
  readonly present: string;
  /** Deletes the programs. */
  readonly remove: () => void;
}

/** Bundles both builds below `target/`, where they find the installed libraries. Throws an `Error` if the history lacks the commit. */
export function bundleBuilds(commit: string): DaemonBuilds {
  mkdirSync(TARGET, { recursive: true });
  const folder = mkdtempSync(join(TARGET, 'upgrade-'));
  const remove = () => {
    rmSync(folder, { recursive: true, force: true });
  };
  try {
    extract(commit, folder);
    const earlier = bundle(folder);
    copyTemplate(folder, earlier);
    const present = copyProgram(bundle(ROOT), folder);
    copyTemplate(ROOT, present);
    return { earlier, present, remove };
  } catch (error) {
    remove();
    throw error;
  }
}

function bundle(root: string): string {
  execFileSync(process.execPath, [join(root, 'scripts', 'bundle.mjs')]);
  return join(root, 'target', PROGRAM);
}

/** Copies the program with the files that it loads, and returns its path. */
function copyProgram(program: string, folder: string): string {
  const source = dirname(program);
  for (const name of readdirSync(source)) {
    if (!name.startsWith(PROGRAM_PREFIX)) continue;
    copyFileSync(join(source, name), join(folder, name));
  }
  return join(folder, PROGRAM);
}

/** Copies the template of a build's settings from its checkout. */
function copyTemplate(root: string, program: string): void {
  const template = join(root, 'platform', 'settings.template');
  copyFileSync(template, templateBeside(program));
}

/** Returns the path of the template of a build's settings, which lies beside its program. */
export function templateBeside(program: string): string {
  return join(dirname(program), 'settings.template');
}

function extract(commit: string, folder: string): void {
  const archive = join(folder, 'earlier.tar');
  const git = ['archive', '--output', archive, commit, '--'];
  try {
    execFileSync('git', [...git, ...BUNDLED_PATHS], { cwd: ROOT });
  } catch (cause) {
    throw new Error(
      `Commit ${commit}, an earlier build, is not in the history; fetch it whole (git fetch --unshallow).`,
      { cause },
    );
  }
  execFileSync('tar', ['-xf', archive, '-C', folder]);
}
