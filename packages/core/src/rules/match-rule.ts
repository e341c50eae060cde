import type { Rule, RuleSubject } from './rule.js';

/** The first rule that matches the subject, in the file's order. */
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
