import type { KeyValueEntry } from '../ports/index.js';
import { matchRule } from './match-rule.js';
import { parseRules } from './parse-rules.js';
import type { Rule, RuleSubject } from './rule.js';
import { decodeRuleDocument } from './rule-document.js';

/** Store of the rules in force in this process. The revision never decreases. */
export class RuleStore {
  private rules: readonly Rule[] = [];
  private currentText = '';
  private currentEntry: KeyValueEntry | undefined;

  /** Revision in force, 0 before the first entry. */
  get revision(): number {
    return this.currentEntry?.version ?? 0;
  }

  /** Key-value entry in force, in the form in which peers receive it. */
  get entry(): KeyValueEntry | undefined {
    return this.currentEntry;
  }

  /** Text of the rule file in force. */
  get text(): string {
    return this.currentText;
  }

  /**
   * Applies an entry from the key-value service or from a peer. Returns false and
   * keeps the rules in force when the entry is not newer or not a rule document.
   */
  apply(entry: KeyValueEntry): boolean {
    if (entry.version <= this.revision) return false;
    const document = decodeRuleDocument(entry.value);
    if (document === undefined) return false;
    this.rules = parseRules(document.text).rules;
    this.currentText = document.text;
    const { key, value, version } = entry;
    this.currentEntry = { key, value, version };
    return true;
  }

  /** Returns the rules in force, in file order. */
  all(): readonly Rule[] {
    return this.rules;
  }

  /** Returns the first rule in force that matches the subject. */
  match(subject: RuleSubject): Rule | undefined {
    return matchRule(this.rules, subject);
  }
}
