import type { KeyValue } from '../ports/index.js';
import { PutOutcome } from '../ports/index.js';
import type { RuleDocument, RuleEdit } from './rule-document.js';
import {
  decodeHistory,
  encodeHistory,
  MAX_RECENT_EDITS,
  RULE_HISTORY_KEY,
} from './rule-document.js';

const ARCHIVE_ATTEMPTS = 5;

/** Edits of the rule file that no longer stand beside it. */
export class RuleHistory {
  constructor(private readonly keyValue: KeyValue) {}

  /** Archived edits, oldest first. Throws the key-value service's errors. */
  async read(deadlineAtMs: number): Promise<readonly RuleEdit[]> {
    const entry = await this.keyValue.get(RULE_HISTORY_KEY, deadlineAtMs);
    return decodeHistory(entry?.value);
  }

  /**
   * Moves the older edits of a full document to the history and returns those
   * that stay. Archiving an edit twice keeps one, so a lost answer does no harm.
   */
  async archive(
    document: RuleDocument,
    deadlineAtMs: number,
  ): Promise<readonly RuleEdit[]> {
    const { recentEdits } = document;
    if (recentEdits.length < MAX_RECENT_EDITS) return recentEdits;
    const older = recentEdits.slice(0, recentEdits.length / 2);
    for (let attempt = 1; attempt <= ARCHIVE_ATTEMPTS; attempt += 1) {
      if (await this.append(older, deadlineAtMs)) {
        return recentEdits.slice(older.length);
      }
    }
    return recentEdits;
  }

  private async append(
    older: readonly RuleEdit[],
    deadlineAtMs: number,
  ): Promise<boolean> {
    const entry = await this.keyValue.get(RULE_HISTORY_KEY, deadlineAtMs);
    const archived = decodeHistory(entry?.value);
    const known = new Set(archived.map(edit => edit.revision));
    const added = older.filter(edit => !known.has(edit.revision));
    const edits = [...archived, ...added].sort(
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
