import { builtinModules } from 'node:module';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { root } from '../prepare.mjs';

const UNDICI_PARTS = fileURLToPath(
  new URL('undici-parts.mjs', import.meta.url),
);
const SOURCE_FOLDERS = [join(root, 'packages/'), join(root, 'platform/')];
/** Modules of libraries that load much at the start and that the program never calls. */
const UNUSED_MODULES = [
  /undici\/lib\/dispatcher\/client-h2\.js$/,
  /pino\/lib\/transport\.js$/,
  /prom-client\/lib\/(cluster|defaultMetrics|pushgateway)\.js$/,
  /zod\/v4\/locales\/index\.js$/,
];

/** Resolves the packages of the workspace to their sources, so that `tsc -b` need not run first, and drops modules of which nothing is used. */
export const workspaceSources = {
  name: 'workspace-sources',
  setup(bundler) {
    bundler.onResolve({ filter: /^@skylarkreach\// }, ({ path }) => {
      const [, name, feature] = path.split('/');
      const folder = name === 'platform' ? 'platform' : `packages/${name}`;
      const file = feature === undefined ? 'index.ts' : `${feature}/index.ts`;
      return { path: `${root}/${folder}/src/${file}`, sideEffects: false };
    });
    bundler.onResolve(
      { filter: /^\.{1,2}\/.*\.js$/ },
      ({ path, resolveDir }) => {
        const isSource = SOURCE_FOLDERS.some(folder =>
          `${resolveDir}/`.startsWith(folder),
        );
        if (!isSource || resolveDir.includes('node_modules')) return undefined;
        const file = join(resolveDir, path.replace(/\.js$/, '.ts'));
        return { path: file, sideEffects: false };
      },
    );
  },
};

/** Leaves out the parts of libraries that the program does not use. */
export const usedParts = {
  name: 'used-parts',
  setup(bundler) {
    bundler.onResolve({ filter: /^undici$/ }, () => ({ path: UNDICI_PARTS }));
    for (const filter of UNUSED_MODULES) {
      bundler.onLoad({ filter }, () => ({ contents: '' }));
    }
  },
};

/** Loads the built-in modules of Node.js with `require`, as a script cannot import any. */
export const requiredBuiltins = {
  name: 'required-builtins',
  setup(bundler) {
    bundler.onResolve({ filter: /.*/ }, ({ kind, path }) => {
      const isBuiltin =
        path.startsWith('node:') || builtinModules.includes(path);
      if (!isBuiltin || kind !== 'import-statement') return undefined;
      return { path, namespace: 'builtin', sideEffects: false };
    });
    bundler.onLoad({ filter: /.*/, namespace: 'builtin' }, ({ path }) => ({
      contents: `module.exports = require(${JSON.stringify(path)});`,
    }));
  },
};

/** Leaves a module that the program loads only with some settings to a bundle of its own. */
export function separateBundle(source, bundle) {
  const resolved = { path: `./${bundle}`, external: true };
  return resolvedModule('separate-bundle', source, resolved);
}

/** Puts another module in the place of one. */
export function replacedModule(source, path) {
  return resolvedModule('replaced-module', source, { path });
}

function resolvedModule(name, source, resolved) {
  return {
    name,
    setup(bundler) {
      bundler.onResolve({ filter: /^\.{1,2}\// }, ({ path, resolveDir }) => {
        const file = join(resolveDir, path.replace(/\.js$/, '.ts'));
        return file === source ? resolved : undefined;
      });
    },
  };
}
