import type { KeyValueEntry } from '../platform/index.js';
import { matchRule } from './match-rule.js';
import { parseRules } from './parse-rules.js';
import type { Rule, RuleSubject } from './rule.js';

/** Key of the rule file in the key-value service. */
export const RULES_KEY = 'rules/current';

/** The rules in force in this process. Their revision only rises. */
export class RuleStore {
  private rules: readonly Rule[] = [];
  private currentText = '';
  private currentRevision = 0;

  get revision(): number {
    return this.currentRevision;
  }

  get text(): string {
    return this.currentText;
  }

  /** Takes an entry read from the key-value service or from a peer; false where it is not newer. */
  apply(entry: KeyValueEntry): boolean {
    if (entry.version <= this.currentRevision) return false;
    this.rules = parseRules(entry.value).rules;
    this.currentText = entry.value;
    this.currentRevision = entry.version;
    return true;
  }

  match(subject: RuleSubject): Rule | undefined {
    return matchRule(this.rules, subject);
  }
}
