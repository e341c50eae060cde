import type { KeyValueEntry } from '../ports/index.js';
import { matchRule } from './match-rule.js';
import { parseRules } from './parse-rules.js';
import type { Rule, RuleSubject } from './rule.js';
import { decodeRuleDocument } from './rule-document.js';

/** The rules in force in this process. Their revision only rises. */
export class RuleStore {
  private rules: readonly Rule[] = [];
  private currentText = '';
  private currentEntry: KeyValueEntry | undefined;

  get revision(): number {
    return this.currentEntry?.version ?? 0;
  }

  /** The stored value in force, as it is passed on to peers. */
  get entry(): KeyValueEntry | undefined {
    return this.currentEntry;
  }

  get text(): string {
    return this.currentText;
  }

  /**
   * Takes an entry read from the key-value service or from a peer. False where
   * it is not newer or holds no rule document; the rules in force then stay.
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

  /** The rules in force, in the file's order. */
  all(): readonly Rule[] {
    return this.rules;
  }

  match(subject: RuleSubject): Rule | undefined {
    return matchRule(this.rules, subject);
  }
}
