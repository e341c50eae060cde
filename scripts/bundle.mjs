import { build } from 'esbuild';

import { root } from './prepare.mjs';

/** Esbuild plugin that resolves the packages of the workspace to their sources, so that `tsc -b` need not run first. */
const workspaceSources = {
  name: 'workspace-sources',
  setup(bundler) {
    bundler.onResolve({ filter: /^@skylarkreach\// }, ({ path }) => {
      const [, name, feature] = path.split('/');
      const folder = name === 'platform' ? 'platform' : `packages/${name}`;
      const file = feature === undefined ? 'index.ts' : `${feature}/index.ts`;
      return { path: `${root}/${folder}/src/${file}` };
    });
  },
};

await build({
  entryPoints: [`${root}/packages/daemon/src/main.ts`],
  outfile: `${root}/target/skylarkreachd.mjs`,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  // Bundled CommonJS libraries call `require` for built-in modules of Node.js, which ES modules lack.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  plugins: [workspaceSources],
});
