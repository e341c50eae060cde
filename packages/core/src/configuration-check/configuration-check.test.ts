import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type {
  Configuration,
  ForwardGroup,
  ForwardRoute,
  ForwardWorkspace,
  TokenRate,
} from '../forwarding/index.js';
import { RouteType } from '../forwarding/index.js';
import { findContradictingLimits } from './contradicting-limits.js';
import { ChangeKind, findDifferences } from './differences.js';
import type { ConfigurationFinding } from './finding.js';
import { ConfigurationSection } from './finding.js';
import { findUnreachableEntries } from './unreachable-entries.js';

const LEDGER = sampleGroup('ledger');

function sampleRoute(overrides: Partial<ForwardRoute> = {}): ForwardRoute {
  return {
    name: 'lookups',
    host: 'a.example',
    pathPrefix: '/lookups/',
    type: RouteType.Idempotent,
    targets: [{ group: 'ledger', weight: 1 }],
    timeoutMs: 1_000,
    latencyObjectiveMs: 100,
    maxGapMs: undefined,
    priority: 0,
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    homeRegions: undefined,
    ...overrides,
  };
}

function sampleConfiguration(
  routes: readonly ForwardRoute[],
  overrides: Partial<Configuration> = {},
  tokenRate?: TokenRate,
): Configuration {
  const sizes = { maxHeaderBytes: 16_384, maxBodyBytes: 65_536 };
  return {
    version: 1,
    routes,
    groups: [],
    limits: { ...sizes, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    workspaces: [sampleWorkspace('kowhai', ['key-1'], { tokenRate })],
    ...overrides,
  };
}

function sampleGroup(
  name: string,
  scaling?: Partial<ForwardGroup['scaling']>,
): ForwardGroup {
  const defaults = {
    minEndpoints: 1,
    maxEndpoints: 1,
    bootMs: 4_000,
    reclaimablePrice: undefined,
    pricesByDataCentre: { 'north-1': 1, 'north-2': 1 },
  };
  return {
    name,
    maxConnections: 10,
    engine: undefined,
    scaling: scaling && { ...defaults, ...scaling },
    coldStart: undefined,
  };
}

function sampleWorkspace(
  workspace: string,
  apiKeys: readonly string[],
  overrides: Partial<ForwardWorkspace> = {},
): ForwardWorkspace {
  const none = { priority: undefined, tokenRate: undefined };
  return { workspace, apiKeys, ...none, homeRegions: undefined, ...overrides };
}

/** Returns the places of findings as `section/index/field/item`. */
function placesOf(findings: readonly ConfigurationFinding[]) {
  return findings.map(({ place: { field, index, item, section } }) =>
    [section, index, field, item].filter(part => part !== undefined).join('/'),
  );
}

describe('findUnreachableEntries', () => {
  it('reports the earlier of two routes with one host and prefix, as the later one is used', () => {
    const routes = [
      sampleRoute({ name: 'first' }),
      sampleRoute({ name: 'other', host: 'b.example' }),
      sampleRoute({ name: 'second' }),
    ];
    const configuration = sampleConfiguration(routes, { groups: [LEDGER] });
    assert.deepEqual(placesOf(findUnreachableEntries(configuration)), [
      'routes/0',
    ]);
  });

  it('reports hosts and prefixes that no request can have', () => {
    const routes = [
      sampleRoute({ host: 'a.example:80' }),
      sampleRoute({ pathPrefix: '/a' }),
      sampleRoute({ pathPrefix: 'a/' }),
      sampleRoute({ pathPrefix: '/' }),
    ];
    const configuration = sampleConfiguration(routes, { groups: [LEDGER] });
    assert.deepEqual(placesOf(findUnreachableEntries(configuration)), [
      'routes/0/host',
      'routes/1/pathPrefix',
      'routes/2/pathPrefix',
    ]);
  });

  it('reports services that are missing or that no route names', () => {
    const targets = [
      { group: 'ledger', weight: 1 },
      { group: 'gone', weight: 1 },
    ];
    const routes = [
      sampleRoute({ targets }),
      sampleRoute({ pathPrefix: '/', targets: [] }),
    ];
    const groups = [LEDGER, sampleGroup('unused')];
    const configuration = sampleConfiguration(routes, { groups });
    assert.deepEqual(placesOf(findUnreachableEntries(configuration)), [
      'routes/0/targets/1',
      'routes/1',
      'services/1',
    ]);
  });

  it('reports workspaces without keys and shared keys, without disclosing a key', () => {
    const workspaces = [
      sampleWorkspace('a', ['secret', 'own', 'own']),
      sampleWorkspace('b', []),
      sampleWorkspace('c', ['secret']),
    ];
    const overrides = { groups: [LEDGER], workspaces };
    const configuration = sampleConfiguration([sampleRoute()], overrides);
    const findings = findUnreachableEntries(configuration);
    const places = ['workspaces/1', 'workspaces/0/apiKeys/0'];
    assert.deepEqual(placesOf(findings), places);
    assert.doesNotMatch(JSON.stringify(findings), /secret/);
  });

  it('reports home regions without data centres where regions are known', () => {
    const homeRegions = ['north', 'west'];
    const configuration = sampleConfiguration([sampleRoute({ homeRegions })], {
      groups: [LEDGER],
      workspaces: [sampleWorkspace('a', ['k'], { homeRegions: ['east'] })],
    });
    assert.deepEqual(findUnreachableEntries(configuration), []);
    const regions = new Set(['north']);
    assert.deepEqual(placesOf(findUnreachableEntries(configuration, regions)), [
      'routes/0/homeRegions/1',
      'workspaces/0/homeRegions/0',
    ]);
  });
});

describe('findContradictingLimits', () => {
  it('accepts limits at their bounds', () => {
    const route = sampleRoute({ maxGapMs: 1_000, latencyObjectiveMs: 999 });
    const rate = { tokensPerSecond: 1, burstTokens: 200, plainTokens: 200 };
    const groups = [sampleGroup('ledger', {})];
    const configuration = sampleConfiguration([route], { groups }, rate);
    assert.deepEqual(findContradictingLimits(configuration), []);
  });

  it('reports each pair of limits that contradict each other', () => {
    const route = sampleRoute({
      latencyObjectiveMs: 1_000,
      maxGapMs: 1_001,
      maxAttempts: 3,
    });
    const rate = { tokensPerSecond: 1, burstTokens: 199, plainTokens: 200 };
    const { limits } = sampleConfiguration([]);
    const overrides = {
      groups: [sampleGroup('ledger', { minEndpoints: 2 })],
      limits: { ...limits, headerTimeoutMs: 15_001 },
    };
    const configuration = sampleConfiguration([route], overrides, rate);
    assert.deepEqual(placesOf(findContradictingLimits(configuration)), [
      'routes/0/timeoutMs',
      'routes/0/maxGapMs',
      'routes/0/maxAttempts',
      'services/0/minEndpoints',
      'limits/headerTimeoutMs',
      'workspaces/0/burstTokens',
    ]);
  });
});

describe('findDifferences', () => {
  const entry = (name: string, fields: Readonly<Record<string, string>>) => ({
    section: ConfigurationSection.Routes,
    name,
    fields: new Map(Object.entries(fields)),
  });

  it('tells entries of one name apart and ignores the order of others', () => {
    const before = [entry('a', { x: '1', y: '1' }), entry('b', {})];
    const after = [entry('c', {}), entry('a', { x: '2' }), entry('a', {})];
    const differences = findDifferences(before, after).map(
      ({ change, fields, name }) => ({ change, fields, name }),
    );
    const fields = [
      { field: 'x', before: '1', after: '2' },
      { field: 'y', before: '1', after: undefined },
    ];
    assert.deepEqual(differences, [
      { change: ChangeKind.Changed, fields, name: 'a' },
      { change: ChangeKind.Removed, fields: [], name: 'b' },
      { change: ChangeKind.Added, fields: [], name: 'c' },
      { change: ChangeKind.Added, fields: [], name: 'a' },
    ]);
    assert.deepEqual(findDifferences(before, [...before].reverse()), []);
  });
});
