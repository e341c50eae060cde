import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Priority } from '../ports/index.js';
import { matchRule } from './match-rule.js';
import { parseRules } from './parse-rules.js';
import { RepeatPolicy } from './rule.js';
import { encodeRuleDocument } from './rule-document.js';
import { RuleStore } from './rule-store.js';

const TEXT = [
  '# first match applies',
  'workspace=northside kind=lookup target=model priority=lookup deadline=5s inFlight=3 # front desk, phones',
  'kind=* target=model repeat=never # operations, the rest',
].join('\n');

describe('parseRules', () => {
  it('parses one rule per line and returns the first match', () => {
    const { faults, rules } = parseRules(TEXT);
    assert.deepEqual(faults, []);
    const lookup = matchRule(rules, { workspace: 'northside', kind: 'lookup' });
    assert.equal(lookup?.line, 2);
    assert.equal(lookup.priority, Priority.Lookup);
    assert.equal(lookup.deadlineLimitMs, 5_000);
    assert.equal(lookup.limits.inFlight, 3);
    assert.equal(lookup.reason, 'front desk, phones');
    const other = matchRule(rules, { workspace: 'southside', kind: 'lookup' });
    assert.equal(other?.repeat, RepeatPolicy.Never);
  });

  it('reports line, column and remedy of each fault', () => {
    const { faults } = parseRules('target=a deadline=soon # who\ncolour=red\n');
    assert.deepEqual(
      faults.map(fault => [fault.line, fault.column]),
      [
        [1, 23],
        [1, 10],
        [2, 11],
        [2, 1],
        [2, 1],
      ],
    );
    assert.ok(faults.every(fault => fault.remedy.length > 0));
  });
});

describe('RuleStore', () => {
  it('applies only newer revisions', () => {
    const store = new RuleStore();
    const value = encodeRuleDocument({ text: TEXT, recentEdits: [] });
    const entry = { key: 'rules/current', value, version: 4 };
    assert.equal(store.apply(entry), true);
    const other = encodeRuleDocument({ text: '', recentEdits: [] });
    assert.equal(store.apply({ ...entry, value: other, version: 3 }), false);
    assert.equal(store.apply({ ...entry, value: other, version: 4 }), false);
    assert.equal(store.text, TEXT);
    assert.equal(store.revision, 4);
  });

  it('keeps the rules in force when a newer value is not a rule document', () => {
    const store = new RuleStore();
    const value = encodeRuleDocument({ text: TEXT, recentEdits: [] });
    store.apply({ key: 'rules/current', value, version: 1 });
    const broken = { key: 'rules/current', value: '{', version: 2 };
    assert.equal(store.apply(broken), false);
    assert.equal(store.text, TEXT);
  });
});
