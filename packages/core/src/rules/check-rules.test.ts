import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { Priority } from '../ports/index.js';
import { checkRules, hasErrors } from './check-rules.js';
import { formatRule } from './format-rule.js';
import { parseRules } from './parse-rules.js';
import type { Rule } from './rule.js';
import { FaultSeverity, RepeatPolicy } from './rule.js';

const SEED = 7;

describe('checkRules', () => {
  it('finds duplicate lines, unreachable lines and unknown names', () => {
    const text = [
      'workspace=a kind=lookup target=model # desk, phones',
      'workspace=a kind=lookup target=ledger # desk, phones',
      'kind=* target=model # operations, the rest',
      'workspace=b target=other # desk, too late',
    ].join('\n');
    const knownNames = { workspaces: ['a'], groups: ['model', 'ledger'] };
    const faults = checkRules(text, knownNames);
    assert.equal(hasErrors(faults), false);
    assert.deepEqual(
      faults.map(fault => [fault.line, fault.severity]),
      [2, 4, 4, 4].map(line => [line, FaultSeverity.Warning]),
    );
    assert.match(faults[0]?.message ?? '', /same requests as line 1/);
    assert.match(faults[1]?.message ?? '', /line 3 takes them all/);
  });

  it('reports a line without a requester as an error', () => {
    const faults = checkRules('target=model # because\n');
    assert.equal(hasErrors(faults), true);
  });
});

const word = fc.stringMatching(/^[a-z][a-z0-9-]{0,8}$/);
const optionalCount = fc.option(fc.integer({ min: 1, max: 1_000_000 }), {
  nil: undefined,
});
const PLAIN_OBJECTS = { noNullPrototype: true };

const anyRule: fc.Arbitrary<Rule> = fc.record(
  {
    line: fc.constant(1),
    workspace: fc.option(word, { nil: undefined }),
    kind: fc.option(word, { nil: undefined }),
    group: word,
    version: fc.option(word, { nil: undefined }),
    priority: fc.constantFrom(...Object.values(Priority)),
    deadlineLimitMs: fc.integer({ min: 1, max: 3_600_000 }),
    limits: fc.record(
      { inFlight: optionalCount, tokensPerMinute: optionalCount },
      PLAIN_OBJECTS,
    ),
    repeat: fc.constantFrom(...Object.values(RepeatPolicy)),
    reason: fc.tuple(word, word).map(([who, why]) => `${who}, ${why}`),
  },
  PLAIN_OBJECTS,
);

describe('formatRule', () => {
  it('formats a rule as a line that parses to the same rule', () => {
    fc.assert(
      fc.property(anyRule, rule => {
        const { faults, rules } = parseRules(formatRule(rule));
        assert.deepEqual(faults, []);
        assert.deepEqual(rules, [rule]);
      }),
      { seed: SEED },
    );
  });
});
