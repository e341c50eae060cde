import js from '@eslint/js';
import prettier from 'eslint-config-prettier';
import importSort from 'eslint-plugin-simple-import-sort';
import tseslint from 'typescript-eslint';

/** Packages that each package may import; imports go downwards only. */
const allowedPackages = {
  core: [],
  platform: ['core'],
  client: [],
  daemon: ['core', 'platform'],
  cli: ['core', 'platform'],
  'stand-ins': ['core', 'daemon', 'client', 'platform'],
  measure: ['core', 'daemon', 'client', 'stand-ins'],
};

/** Features of the core that each feature may import through their index. */
const allowedFeatures = {
  ports: [],
  evacuations: ['ports'],
  leases: ['ports'],
  rules: ['ports'],
  membership: ['ports', 'leases', 'rules'],
  streams: ['ports'],
  claims: ['ports'],
  admission: ['ports', 'rules'],
  routing: ['ports', 'rules'],
  moves: ['ports', 'leases', 'membership', 'rules'],
  fleet: ['ports', 'leases', 'membership', 'routing'],
  forwarding: ['ports', 'routing', 'evacuations'],
  placement: ['ports', 'routing', 'forwarding'],
  'prompt-transfers': ['ports', 'routing', 'forwarding', 'placement'],
  'first-events': ['ports', 'forwarding'],
  rollouts: ['ports', 'moves', 'forwarding'],
  quarantine: ['ports', 'forwarding'],
  'configuration-check': ['forwarding'],
  'endpoint-limits': ['ports', 'membership', 'routing', 'forwarding'],
  'cold-starts': [
    'ports',
    'membership',
    'routing',
    'forwarding',
    'endpoint-limits',
  ],
  'dispatch-queue': ['ports', 'forwarding'],
  hints: [
    'ports',
    'forwarding',
    'placement',
    'quarantine',
    'rollouts',
    'endpoint-limits',
    'cold-starts',
    'first-events',
  ],
  duties: [
    'ports',
    'leases',
    'membership',
    'forwarding',
    'first-events',
    'hints',
  ],
  pipeline: [
    'ports',
    'rules',
    'membership',
    'streams',
    'claims',
    'admission',
    'routing',
    'moves',
  ],
};

function packageBoundary(name) {
  const others = Object.keys(allowedPackages).filter(
    other => other !== name && !allowedPackages[name].includes(other),
  );
  return others.length === 0
    ? []
    : [
        {
          regex: `^@skylarkreach/(${others.join('|')})(/|$)`,
          message: `packages/${name} may not import this package.`,
        },
      ];
}

const indexOnly = {
  regex: '^\\.\\./(?!(\\.\\./)*index\\.js$)(?!(\\.\\./)*[a-z-]+/index\\.js$)',
  message: 'Import another folder through its index.js.',
};

function restrict(files, patterns) {
  return {
    files,
    rules: { 'no-restricted-imports': ['error', { patterns }] },
  };
}

function sourcesOf(name) {
  return name === 'platform'
    ? 'platform/src/**/*.ts'
    : `packages/${name}/src/**/*.ts`;
}

const packageRules = Object.keys(allowedPackages).map(name =>
  restrict([sourcesOf(name)], [indexOnly, ...packageBoundary(name)]),
);

/** The platform's folder is met by the module that wires the parts alone. */
const platformOnlyInWiring = {
  files: ['packages/daemon/src/**/*.ts'],
  ignores: ['packages/daemon/src/gateway/gateway-wiring.ts'],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          indexOnly,
          ...packageBoundary('daemon'),
          {
            regex: '^@skylarkreach/platform(/|$)',
            message: 'Only gateway-wiring.ts meets the platform.',
          },
        ],
      },
    ],
  },
};

const featureRules = Object.keys(allowedFeatures).map(feature => {
  const others = Object.keys(allowedFeatures).filter(
    other => other !== feature && !allowedFeatures[feature].includes(other),
  );
  const boundary = {
    regex: `^\\.\\./(${others.join('|')})/`,
    message: `core/${feature} may not import this feature.`,
  };
  return restrict(
    [`packages/core/src/${feature}/**/*.ts`],
    [indexOnly, boundary, ...packageBoundary('core')],
  );
});

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  js.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    extends: [
      ...tseslint.configs.strictTypeChecked,
      ...tseslint.configs.stylisticTypeChecked,
    ],
    languageOptions: {
      parserOptions: { projectService: true },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      'max-lines': ['error', { max: 350, skipBlankLines: true }],
    },
  },
  {
    files: ['packages/**/*.test.ts', 'platform/**/*.test.ts'],
    rules: {
      // node:test tracks the promises that describe and it return.
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
  {
    plugins: { 'simple-import-sort': importSort },
    rules: {
      'simple-import-sort/imports': [
        'error',
        { groups: [['^node:'], ['^@?\\w'], ['^@skylarkreach/'], ['^\\.']] },
      ],
      'simple-import-sort/exports': 'error',
    },
  },
  {
    files: ['scripts/**/*.mjs', 'eslint.config.mjs'],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        URL: 'readonly',
        globalThis: 'readonly',
        fetch: 'readonly',
        performance: 'readonly',
      },
    },
  },
  ...packageRules,
  platformOnlyInWiring,
  ...featureRules,
  prettier,
);
