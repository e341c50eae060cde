import type { Rule, RuleSubject } from './rule.js';

/** Returns the first rule, in file order, that matches the subject. */
export function matchRule(
  rules: readonly Rule[],
  subject: RuleSubject,
): Rule | undefined {
  return rules.find(rule => matches(rule, subject));
}

function matches(rule: Rule, subject: RuleSubject): boolean {
  if (rule.workspace !== undefined && rule.workspace !== subject.workspace) {
    return false;
  }
  return rule.kind === undefined || rule.kind === subject.kind;
}
