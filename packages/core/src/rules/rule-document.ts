import { z } from 'zod';

import type { KeyValueEntry } from '../ports/index.js';

/** Key of the rule file in the key-value service. */
export const RULES_KEY = 'rules/current';

/** Key of the archived edits in the key-value service. */
export const RULE_HISTORY_KEY = 'rules/history';

/**
 * Maximum number of edits stored with the rule file; the older half is archived
 * when it is reached.
 */
export const MAX_RECENT_EDITS = 20;

/** Maximum bytes of the history; the oldest edits are dropped when it is exceeded. */
export const MAX_HISTORY_BYTES = 500_000;

const editSchema = z.object({
  revision: z.int().positive(),
  editId: z.string(),
  operator: z.string(),
  appliedAtMs: z.number(),
  added: z.array(z.string()),
  removed: z.array(z.string()),
});

const documentSchema = z.object({
  text: z.string(),
  recentEdits: z.array(editSchema),
});

const historySchema = z.object({ edits: z.array(editSchema) });

/** Record of an edit: who changed which lines at which revision. */
export type RuleEdit = Readonly<z.output<typeof editSchema>>;

/** Stored value of the rule key: the rule file and its recent edits, oldest first. */
export interface RuleDocument {
  readonly text: string;
  readonly recentEdits: readonly RuleEdit[];
}

/** Serializes a rule document for the key-value service. */
export function encodeRuleDocument(document: RuleDocument): string {
  return JSON.stringify(document);
}

/** Returns the entry of a rule file without edits, for initializing a deployment. */
export function createRulesEntry(text: string, version: number): KeyValueEntry {
  const value = encodeRuleDocument({ text, recentEdits: [] });
  return { key: RULES_KEY, value, version };
}

/** Parses a stored document. Returns undefined when the value is not a rule document. */
export function decodeRuleDocument(value: string): RuleDocument | undefined {
  return documentSchema.safeParse(parseJson(value)).data;
}

/**
 * Serializes the history, dropping the oldest tenth of the edits until it fits
 * into `MAX_HISTORY_BYTES`.
 */
export function encodeHistory(edits: readonly RuleEdit[]): string {
  let kept = edits;
  let value = JSON.stringify({ edits: kept });
  while (Buffer.byteLength(value) > MAX_HISTORY_BYTES && kept.length > 0) {
    kept = kept.slice(Math.ceil(kept.length / 10));
    value = JSON.stringify({ edits: kept });
  }
  return value;
}

/** Parses a stored history. Returns no edits when the value is absent or not a history. */
export function decodeHistory(value: string | undefined): readonly RuleEdit[] {
  if (value === undefined) return [];
  return historySchema.safeParse(parseJson(value)).data?.edits ?? [];
}

function parseJson(value: string): unknown {
  try {
    return JSON.parse(value);
  } catch {
    return undefined;
  }
}
