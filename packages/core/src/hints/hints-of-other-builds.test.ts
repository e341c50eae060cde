import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { exchangeHintsMethod } from './daemon-hints.js';

const HINTS = {
  daemonId: 'a',
  lifetime: 'a/1',
  sequence: 1,
  ageMs: 0,
  wallMs: 0,
  work: {},
  grantedTokens: { kowhai: 7 },
  usage: [{ windowId: 3, counts: { kowhai: 2 } }],
  endpointsVersion: 1,
  rollouts: [
    { group: 'ledger', revision: 1, ageMs: 0, phase: 'trial', evidence: [] },
  ],
  quarantine: { crashes: [], completed: [], blocked: [] },
  endpointLimits: [{ endpointId: 'e', bornAtMs: 0, ageMs: 0 }],
  brittleEndpoints: [
    { endpointId: 'e', bornAtMs: 0, group: 'ledger', ageMs: 0 },
  ],
  leavingEndpoints: [
    { endpointId: 'e', address: '10.0.0.1:1', bornAtMs: 0, ageMs: 0 },
  ],
  coldEndpoints: [{ endpointId: 'e', bornAtMs: 0, coldUntilMs: 0 }],
  loadReports: { atMs: 1, reports: '50 e 1 0 8 100' },
  firstEvents: { ledger: [7, 2] },
  holdsDuties: false,
};

const LISTS = [
  'rollouts',
  'endpointLimits',
  'brittleEndpoints',
  'leavingEndpoints',
  'coldEndpoints',
] as const;
/** Parts that may be absent, so that one that cannot be read must not cost the others. */
const OPTIONAL_PARTS = [
  ...LISTS.slice(1),
  'passedOnGrants',
  'usageReportedBefore',
  'endpointReadAgeMs',
  'operatorReadAgeMs',
  'configurationVersion',
  'evacuationsVersion',
  'ordersRevision',
  'dutyLease',
  'quarantine',
  'loadReports',
  'reachability',
  'takesUsageCounts',
  'collectsUsage',
  'firstEvents',
];

function parse(changes: Readonly<Record<string, unknown>>) {
  return exchangeHintsMethod.params.parse({ ...HINTS, ...changes });
}

describe('hints of a daemon of another build', () => {
  it('ignores fields that it does not know', () => {
    assert.deepEqual(parse({ novelty: 1 }), HINTS);
  });

  for (const part of [
    'rollouts',
    'endpointLimits',
    'brittleEndpoints',
    'leavingEndpoints',
    'coldEndpoints',
  ] as const) {
    it(`keeps all but an entry that it cannot read: ${part}`, () => {
      const unreadable = {
        ...HINTS[part][0],
        phase: 'novel',
        ageMs: 'novel',
        coldUntilMs: 'novel',
      };
      const hints = parse({ [part]: [unreadable, ...HINTS[part]] });
      assert.deepEqual(hints, HINTS);
    });
  }

  for (const part of [
    'endpointLimits',
    'brittleEndpoints',
    'leavingEndpoints',
    'coldEndpoints',
  ] as const) {
    it(`keeps the first entries of a list that is longer than its own: ${part}`, () => {
      const entries = Array.from({ length: 2_000 }, () => HINTS[part][0]);
      const kept = parse({ [part]: entries })[part] ?? [];
      assert.ok(kept.length > 0 && kept.length < entries.length);
    });
  }

  for (const part of [
    'quarantine',
    'reachability',
    'dutyLease',
    'loadReports',
    'usageReportedBefore',
    'firstEvents',
  ] as const) {
    it(`leaves out a part that it cannot read: ${part}`, () => {
      assert.equal(parse({ [part]: 'novel' })[part], undefined);
    });
  }

  // One part that could not be read cost the whole message.
  it('keeps all other parts, whatever an optional one has', () => {
    const property = fc.property(
      fc.constantFrom(...OPTIONAL_PARTS),
      fc.jsonValue(),
      (part, value) => {
        const read = { ...parse({ [part]: value }), [part]: 0 };
        assert.deepEqual(read, { ...HINTS, [part]: 0 });
      },
    );
    fc.assert(property, { seed: 1, numRuns: 500 });
  });

  it('keeps the readable entries of a list, whatever is beside them', () => {
    const property = fc.property(
      fc.constantFrom(...LISTS),
      fc.array(fc.jsonValue(), { maxLength: 4 }),
      (part, values) => {
        const entries = [...values, ...HINTS[part], ...values];
        assert.deepEqual(parse({ [part]: entries }), HINTS);
      },
    );
    fc.assert(property, { seed: 1, numRuns: 500 });
  });

  it('refuses a message or reads what others can read again, whatever a part has', () => {
    const property = fc.property(
      fc.constantFrom(...Object.keys(HINTS)),
      fc.jsonValue(),
      (part, value) => {
        const { params } = exchangeHintsMethod;
        const { data } = params.safeParse({ ...HINTS, [part]: value });
        if (data === undefined) return;
        assert.ok(params.safeParse(JSON.parse(JSON.stringify(data))).success);
      },
    );
    fc.assert(property, { seed: 1, numRuns: 500 });
  });
});
