import type { Clock, KeyValue, KeyValueEntry } from '../ports/index.js';
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

/** A new rule file, and the revision that its writer started from. */
export interface EditRequest {
  /** Names the edit, so that a repeat is not applied twice. */
  readonly editId: string;
  readonly operator: string;
  readonly baseRevision: number;
  readonly baseText: string;
  readonly text: string;
  readonly deadlineAtMs: number;
}

export enum EditOutcome {
  /** The edit is written; `revision` holds it. */
  Applied = 'applied',
  /** The file in force is already as the edit wants it. */
  Unchanged = 'unchanged',
  /** The same lines were changed differently since the base revision. */
  Conflict = 'conflict',
  /** The merged file has faults. */
  Invalid = 'invalid',
  /** The base is not what the service held at that revision. */
  WrongBase = 'wrongBase',
  /** Nothing was written: the key-value service gives no answer. */
  Unavailable = 'unavailable',
  /** The edit may be written: its answer was lost and cannot be read back. */
  Unknown = 'unknown',
}

export interface EditResult {
  readonly outcome: EditOutcome;
  /** Revision in force as far as it is known. */
  readonly revision: number;
  readonly conflicts: readonly LineConflict[];
  readonly faults: readonly RuleFault[];
  /** What was written, so that the writer can put it in force at once. */
  readonly entry?: KeyValueEntry;
}

interface ReadDocument {
  readonly document: RuleDocument;
  readonly revision: number;
}

const MAX_ATTEMPTS = 20;

const EMPTY_DOCUMENT: RuleDocument = { text: '', recentEdits: [] };

/** Applies edits of the rule file by three-way merge and compare-and-swap. */
export class RuleEditor {
  private readonly history: RuleHistory;

  constructor(
    private readonly keyValue: KeyValue,
    private readonly clock: Clock,
  ) {
    this.history = new RuleHistory(keyValue);
  }

  /** Applies one edit. It is written at most once under its `editId`. */
  async apply(edit: EditRequest): Promise<EditResult> {
    let mayBeWritten = false;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      if (this.clock.nowMs() >= edit.deadlineAtMs) break;
      try {
        const result = await this.tryOnce(edit);
        if (result !== undefined) return result;
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error;
        if (!(error instanceof AnswerLostError)) break;
        mayBeWritten = true;
      }
    }
    return result(mayBeWritten ? EditOutcome.Unknown : EditOutcome.Unavailable);
  }

  /** Every edit that is kept, newest first. Throws the key-value service's errors. */
  async readHistory(deadlineAtMs: number): Promise<readonly RuleEdit[]> {
    const { document } = await this.read(deadlineAtMs);
    const archived = await this.history.read(deadlineAtMs);
    const recent = new Set(document.recentEdits.map(edit => edit.revision));
    return [
      ...archived.filter(edit => !recent.has(edit.revision)),
      ...document.recentEdits,
    ].reverse();
  }

  /** One read, merge and write; undefined where another write came between. */
  private async tryOnce(edit: EditRequest): Promise<EditResult | undefined> {
    const { document, revision } = await this.read(edit.deadlineAtMs);
    const earlier = await this.findEdit(edit, document);
    if (earlier !== undefined) {
      return result(EditOutcome.Applied, earlier.revision);
    }
    if (!isBaseOf(edit, document, revision)) {
      return result(EditOutcome.WrongBase, revision);
    }
    const merged = mergeLines(edit.baseText, document.text, edit.text);
    if (merged.conflicts.length > 0) {
      const { conflicts } = merged;
      return { ...result(EditOutcome.Conflict, revision), conflicts };
    }
    const faults = checkRules(merged.text);
    if (hasErrors(faults)) {
      return { ...result(EditOutcome.Invalid, revision), faults };
    }
    if (merged.text === document.text) {
      return result(EditOutcome.Unchanged, revision);
    }
    const value = await this.newValue(edit, document, revision, merged.text);
    const written = await this.keyValue.put({
      key: RULES_KEY,
      value,
      expectedVersion: revision,
      deadlineAtMs: edit.deadlineAtMs,
    });
    if (written.outcome !== PutOutcome.Written) return undefined;
    const { version } = written;
    const entry = { key: RULES_KEY, value, version };
    return { ...result(EditOutcome.Applied, version), faults, entry };
  }

  private async read(deadlineAtMs: number): Promise<ReadDocument> {
    const entry = await this.keyValue.get(RULES_KEY, deadlineAtMs);
    if (entry === undefined) return { document: EMPTY_DOCUMENT, revision: 0 };
    const document = decodeRuleDocument(entry.value) ?? EMPTY_DOCUMENT;
    return { document, revision: entry.version };
  }

  /** The edit where an earlier try has written it. */
  private async findEdit(
    edit: EditRequest,
    document: RuleDocument,
  ): Promise<RuleEdit | undefined> {
    const isSame = (other: RuleEdit) => other.editId === edit.editId;
    const recent = document.recentEdits.find(isSame);
    if (recent !== undefined) return recent;
    const oldestRecent = document.recentEdits[0]?.revision ?? 1;
    if (edit.baseRevision + 1 >= oldestRecent) return undefined;
    return (await this.history.read(edit.deadlineAtMs)).find(isSame);
  }

  private async newValue(
    edit: EditRequest,
    document: RuleDocument,
    revision: number,
    text: string,
  ): Promise<string> {
    const kept = await this.history.archive(document, edit.deadlineAtMs);
    const recorded: RuleEdit = {
      revision: revision + 1,
      editId: edit.editId,
      operator: edit.operator,
      appliedAtMs: this.clock.nowMs(),
      added: [...addedLines(document.text, text)],
      removed: [...removedLines(document.text, text)],
    };
    return encodeRuleDocument({ text, recentEdits: [...kept, recorded] });
  }
}

function isBaseOf(
  edit: EditRequest,
  document: RuleDocument,
  revision: number,
): boolean {
  if (edit.baseRevision > revision) return false;
  return edit.baseRevision < revision || edit.baseText === document.text;
}

function result(outcome: EditOutcome, revision = 0): EditResult {
  return { outcome, revision, conflicts: [], faults: [] };
}
