import type { Clock, KeyValueEntry, KeyValueStore } from '../ports/index.js';
import { AnswerLostError, PlatformError, PutOutcome } from '../ports/index.js';
import { checkRules, hasErrors } from './check-rules.js';
import type { LineConflict } from './merge-lines.js';
import { addedLines, mergeLines, removedLines } from './merge-lines.js';
import type { RuleFault } from './rule.js';
import type { RuleDocument, RuleEdit } from './rule-document.js';
import {
  decodeRuleDocument,
  encodeRuleDocument,
  RULES_KEY,
} from './rule-document.js';
import { RuleHistory } from './rule-history.js';

/** Request to replace the rule file, with the revision on which the new text is based. */
export interface EditRequest {
  /** Idempotency key: an edit is applied at most once per `editId`. */
  readonly editId: string;
  readonly operator: string;
  readonly baseRevision: number;
  readonly baseText: string;
  readonly text: string;
  readonly deadlineAtMs: number;
}

/** Result of an edit request. */
export enum EditOutcome {
  /** The edit was written as `revision`. */
  Applied = 'applied',
  /** The file in force already equals the edited text. */
  Unchanged = 'unchanged',
  /** The same lines were changed to different texts since the base revision. */
  Conflict = 'conflict',
  /** The merged file has errors. */
  Invalid = 'invalid',
  /**
   * The base revision is newer than the stored one, or has a different text
   * than the stored one.
   */
  WrongBase = 'wrongBase',
  /**
   * Nothing was written: the key-value service is unavailable, or the deadline
   * or the number of attempts was exceeded.
   */
  Unavailable = 'unavailable',
  /**
   * The edit may have been written: the answer was lost and the result could
   * not be read back.
   */
  Unknown = 'unknown',
}

/** Outcome of an edit request, with its conflicts and faults. */
export interface EditResult {
  readonly outcome: EditOutcome;
  /** Last known revision in force, 0 when unknown. */
  readonly revision: number;
  readonly conflicts: readonly LineConflict[];
  readonly faults: readonly RuleFault[];
  /** The written entry, so that the caller can put it in force at once. */
  readonly entry?: KeyValueEntry;
}

interface StoredDocument {
  readonly document: RuleDocument;
  readonly revision: number;
}

/** What is known of the attempts at one edit. */
interface EditProgress {
  /** Whether the answer to a write of the edit was lost. */
  mayBeWritten: boolean;
}

const MAX_ATTEMPTS = 20;

const EMPTY_DOCUMENT: RuleDocument = { text: '', recentEdits: [] };

/** Editor of the rule file, by three-way merge and compare-and-swap. */
export class RuleEditor {
  private readonly history: RuleHistory;

  constructor(
    private readonly keyValue: KeyValueStore,
    private readonly clock: Clock,
  ) {
    this.history = new RuleHistory(keyValue);
  }

  /** Applies one edit, with retries. An edit is written at most once per `editId`. */
  async apply(edit: EditRequest): Promise<EditResult> {
    const progress: EditProgress = { mayBeWritten: false };
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      if (this.clock.nowMs() >= edit.deadlineAtMs) break;
      try {
        const result = await this.attemptEdit(edit, progress);
        if (result !== undefined) return result;
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error;
        if (!(error instanceof AnswerLostError)) break;
      }
    }
    return createResult(
      progress.mayBeWritten ? EditOutcome.Unknown : EditOutcome.Unavailable,
    );
  }

  /** Returns all retained edits, newest first. Rethrows errors of the key-value service. */
  async readHistory(deadlineAtMs: number): Promise<readonly RuleEdit[]> {
    const { document } = await this.read(deadlineAtMs);
    const archived = await this.history.read(deadlineAtMs);
    const recentRevisions = new Set(
      document.recentEdits.map(edit => edit.revision),
    );
    return [
      ...archived.filter(edit => !recentRevisions.has(edit.revision)),
      ...document.recentEdits,
    ].reverse();
  }

  /** Reads, merges and writes once. Returns undefined when a concurrent write intervened. */
  private async attemptEdit(
    edit: EditRequest,
    progress: EditProgress,
  ): Promise<EditResult | undefined> {
    const { document, revision } = await this.read(edit.deadlineAtMs);
    const existingEdit = await this.findEdit(edit, document);
    if (existingEdit !== undefined) {
      return createResult(EditOutcome.Applied, existingEdit.revision);
    }
    if (!isValidBase(edit, document, revision)) {
      return createResult(EditOutcome.WrongBase, revision);
    }
    const merged = mergeLines(edit.baseText, document.text, edit.text);
    if (merged.conflicts.length > 0) {
      const { conflicts } = merged;
      return { ...createResult(EditOutcome.Conflict, revision), conflicts };
    }
    const faults = checkRules(merged.text);
    if (hasErrors(faults)) {
      return { ...createResult(EditOutcome.Invalid, revision), faults };
    }
    if (merged.text === document.text) {
      return createResult(EditOutcome.Unchanged, revision);
    }
    const value = await this.createValue(edit, document, revision, merged.text);
    const { deadlineAtMs } = edit;
    const put = { key: RULES_KEY, value, expectedVersion: revision };
    const putResult = await this.keyValue
      .put({ ...put, deadlineAtMs })
      .catch((error: unknown) => {
        if (error instanceof AnswerLostError) progress.mayBeWritten = true;
        throw error;
      });
    if (putResult.outcome !== PutOutcome.Written) return undefined;
    const { version } = putResult;
    const entry = { key: RULES_KEY, value, version };
    return { ...createResult(EditOutcome.Applied, version), faults, entry };
  }

  private async read(deadlineAtMs: number): Promise<StoredDocument> {
    const entry = await this.keyValue.get(RULES_KEY, deadlineAtMs);
    if (entry === undefined) return { document: EMPTY_DOCUMENT, revision: 0 };
    const document = decodeRuleDocument(entry.value) ?? EMPTY_DOCUMENT;
    return { document, revision: entry.version };
  }

  /** Returns the recorded edit when an earlier attempt has written it. */
  private async findEdit(
    edit: EditRequest,
    document: RuleDocument,
  ): Promise<RuleEdit | undefined> {
    const hasSameId = (other: RuleEdit) => other.editId === edit.editId;
    const recentEdit = document.recentEdits.find(hasSameId);
    if (recentEdit !== undefined) return recentEdit;
    const oldestRecentRevision = document.recentEdits[0]?.revision ?? 1;
    if (edit.baseRevision + 1 >= oldestRecentRevision) return undefined;
    return (await this.history.read(edit.deadlineAtMs)).find(hasSameId);
  }

  private async createValue(
    edit: EditRequest,
    document: RuleDocument,
    revision: number,
    text: string,
  ): Promise<string> {
    const remainingEdits = await this.history.archive(
      document,
      edit.deadlineAtMs,
    );
    const newEdit: RuleEdit = {
      revision: revision + 1,
      editId: edit.editId,
      operator: edit.operator,
      appliedAtMs: this.clock.nowMs(),
      added: [...addedLines(document.text, text)],
      removed: [...removedLines(document.text, text)],
    };
    return encodeRuleDocument({
      text,
      recentEdits: [...remainingEdits, newEdit],
    });
  }
}

function isValidBase(
  edit: EditRequest,
  document: RuleDocument,
  revision: number,
): boolean {
  if (edit.baseRevision > revision) return false;
  return edit.baseRevision < revision || edit.baseText === document.text;
}

function createResult(outcome: EditOutcome, revision = 0): EditResult {
  return { outcome, revision, conflicts: [], faults: [] };
}
