import { Priority } from '@skylarkreach/core/ports';
import {
  encodeRuleDocument,
  formatRule,
  RepeatPolicy,
  RULES_KEY,
  RuleStore,
} from '@skylarkreach/core/rules';

import type { Probe } from './probe.js';
import { minStepMicros, retainedHeapBytes } from './probe.js';

const RULE_COUNTS = [50, 200, 400, 800];
const MATCH_REPEATS = 20_000;
const APPLY_REPEATS = 40;

/** Time to match one request, by number of rules; only the last rule matches. */
export const ruleMatchProbe: Probe = {
  name: 'rule match',
  unit: 'µs a request a rule',
  sizeName: 'rules',
  run: () =>
    Promise.resolve(
      RULE_COUNTS.map(x => {
        const store = createStore(x);
        const subject = { workspace: `workspace-${x - 1}`, kind: 'lookup' };
        const y = minStepMicros(() => store.match(subject), MATCH_REPEATS);
        return { x, y };
      }),
    ),
};

/** Time to apply a changed rule document, by number of rules. */
export const ruleChangeProbe: Probe = {
  name: 'rule change',
  unit: 'µs a change a rule',
  sizeName: 'rules',
  run: () =>
    Promise.resolve(
      RULE_COUNTS.map(x => {
        const store = new RuleStore();
        const value = createDocument(x);
        let version = 0;
        const apply = () => {
          version += 1;
          store.apply({ key: RULES_KEY, value, version });
        };
        return { x, y: minStepMicros(apply, APPLY_REPEATS) };
      }),
    ),
};

/** Heap memory of the active rules, by number of rules. */
export const ruleMemoryProbe: Probe = {
  name: 'rule memory',
  unit: 'bytes a rule',
  sizeName: 'rules',
  run: () =>
    Promise.resolve(
      RULE_COUNTS.map(x => ({ x, y: retainedHeapBytes(() => createStore(x)) })),
    ),
};

/** Size of the stored rule document in bytes, by number of rules. */
export const ruleSizeProbe: Probe = {
  name: 'rule size',
  unit: 'bytes a rule',
  sizeName: 'rules',
  run: () =>
    Promise.resolve(
      RULE_COUNTS.map(x => ({ x, y: Buffer.byteLength(createDocument(x)) })),
    ),
};

function createStore(rules: number): RuleStore {
  const store = new RuleStore();
  store.apply({ key: RULES_KEY, value: createDocument(rules), version: 1 });
  return store;
}

function createDocument(rules: number): string {
  const lines = Array.from({ length: rules }, (_, index) =>
    formatRule({
      line: index + 1,
      workspace: `workspace-${index}`,
      kind: 'lookup',
      group: 'ruling-model',
      priority: Priority.Lookup,
      deadlineLimitMs: 5_000,
      limits: { inFlight: 50 },
      repeat: RepeatPolicy.Repeatable,
      reason: 'front desk, callers wait on the phone',
    }),
  );
  return encodeRuleDocument({ text: `${lines.join('\n')}\n`, recentEdits: [] });
}
