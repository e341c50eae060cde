import type { KeyValueStore } from '../ports/index.js';
import { PutOutcome } from '../ports/index.js';
import type { RuleDocument, RuleEdit } from './rule-document.js';
import {
  decodeHistory,
  encodeHistory,
  MAX_RECENT_EDITS,
  RULE_HISTORY_KEY,
} from './rule-document.js';

const MAX_ARCHIVE_ATTEMPTS = 5;

/** Archive of the older edits of the rule file in the key-value service. */
export class RuleHistory {
  constructor(private readonly keyValue: KeyValueStore) {}

  /** Returns the archived edits, oldest first. Rethrows errors of the key-value service. */
  async read(deadlineAtMs: number): Promise<readonly RuleEdit[]> {
    const entry = await this.keyValue.get(RULE_HISTORY_KEY, deadlineAtMs);
    return decodeHistory(entry?.value);
  }

  /**
   * Archives the older half of the edits once the document has `MAX_RECENT_EDITS`,
   * and returns the edits that remain in the document. Archiving is idempotent, so
   * it can be retried after a lost answer.
   */
  async archive(
    document: RuleDocument,
    deadlineAtMs: number,
  ): Promise<readonly RuleEdit[]> {
    const { recentEdits } = document;
    if (recentEdits.length < MAX_RECENT_EDITS) return recentEdits;
    const oldestEdits = recentEdits.slice(0, recentEdits.length / 2);
    for (let attempt = 1; attempt <= MAX_ARCHIVE_ATTEMPTS; attempt += 1) {
      if (await this.append(oldestEdits, deadlineAtMs)) {
        return recentEdits.slice(oldestEdits.length);
      }
    }
    return recentEdits;
  }

  private async append(
    oldestEdits: readonly RuleEdit[],
    deadlineAtMs: number,
  ): Promise<boolean> {
    const entry = await this.keyValue.get(RULE_HISTORY_KEY, deadlineAtMs);
    const archived = decodeHistory(entry?.value);
    const archivedRevisions = new Set(archived.map(edit => edit.revision));
    const newEdits = oldestEdits.filter(
      edit => !archivedRevisions.has(edit.revision),
    );
    const edits = [...archived, ...newEdits].sort(
      (left, right) => left.revision - right.revision,
    );
    const result = await this.keyValue.put({
      key: RULE_HISTORY_KEY,
      value: encodeHistory(edits),
      expectedVersion: entry?.version ?? 0,
      deadlineAtMs,
    });
    return result.outcome === PutOutcome.Written;
  }
}
